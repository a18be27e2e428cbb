package announcer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/announcer"
	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const leaseDuration = 10 * time.Second

// fakeControl answers announcements with increasing tokens. Once superseded, it rejects
// every command.
type fakeControl struct {
	mu         sync.Mutex
	token      identifier.FencingToken
	superseded bool
	commands   chan any
}

func (c *fakeControl) Submit(ctx context.Context, data []byte) (any, error) {
	command, err := controller.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	select {
	case c.commands <- command:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.superseded {
		return &controller.Rejected{Kind: explainer.Fenced, Problem: "a newer incarnation is registered"}, nil
	}
	if _, ok := command.(*controller.Announce); !ok {
		return &controller.MemberAnswer{Changed: true}, nil
	}
	c.token++
	return &controller.AnnounceAnswer{Token: c.token, LeaseDuration: leaseDuration}, nil
}

func (c *fakeControl) supersede() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.superseded = true
}

func newAnnouncer(t *testing.T) (*announcer.Announcer, *fakeControl, *clockwork.FakeClock, <-chan struct{}) {
	clock := clockwork.NewFakeClock()
	c := &fakeControl{commands: make(chan any)}
	a := announcer.New(controller.Announce{Upstream: "u1", Incarnation: 5}, c, clock, zap.NewNop())
	changed := make(chan struct{}, 1)
	a.OnLeaseChange(func() { changed <- struct{}{} })
	a.Start()
	t.Cleanup(a.Stop)
	require.IsType(t, &controller.Announce{}, <-c.commands)
	<-changed
	require.IsType(t, &controller.Ready{}, <-c.commands)
	return a, c, clock, changed
}

func TestLeaseEndsBeforeControlsUnlessRenewed(t *testing.T) {
	a, _, clock, _ := newAnnouncer(t)
	lease, holds := a.Lease()
	require.True(t, holds)
	require.Equal(t, identifier.FencingToken(1), lease.Token)

	sent := clock.Now()
	clock.Advance(leaseDuration / 2)
	a.Renewed(sent.Add(leaseDuration / 4))
	clock.Advance(leaseDuration / 2)
	_, holds = a.Lease()
	require.True(t, holds, "the duration of a renewed lease must be counted from when the report was sent")
	clock.Advance(leaseDuration / 10)
	_, holds = a.Lease()
	require.False(t, holds, "the lease must end on the agent a fifth of its duration earlier than on the control plane")
}

func TestForgottenUpstreamIsAnnouncedAgain(t *testing.T) {
	a, c, _, changed := newAnnouncer(t)
	a.Superseded()
	require.IsType(t, &controller.Announce{}, <-c.commands)
	<-changed
	require.IsType(t, &controller.Ready{}, <-c.commands)
	lease, holds := a.Lease()
	require.True(t, holds)
	require.Equal(t, identifier.FencingToken(2), lease.Token)
}

func TestSupersededUpstreamGivesNoOrders(t *testing.T) {
	a, c, _, changed := newAnnouncer(t)
	c.supersede()
	a.Superseded()
	require.IsType(t, &controller.Announce{}, <-c.commands)
	<-changed
	_, holds := a.Lease()
	require.False(t, holds)
	require.True(t, a.IsSuperseded())
}
