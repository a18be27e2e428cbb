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

// control answers announcements with rising tokens, or refuses them.
type control struct {
	mu         sync.Mutex
	token      identifier.FencingToken
	superseded bool
	heard      chan any
}

func (c *control) Submit(ctx context.Context, data []byte) (any, error) {
	command, err := controller.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	select {
	case c.heard <- command:
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

func (c *control) supersede() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.superseded = true
}

func newAnnouncer(t *testing.T) (*announcer.Announcer, *control, *clockwork.FakeClock, <-chan struct{}) {
	clock := clockwork.NewFakeClock()
	c := &control{heard: make(chan any)}
	a := announcer.New(controller.Announce{Upstream: "u1", Incarnation: 5}, c, clock, zap.NewNop())
	changed := make(chan struct{}, 1)
	a.OnChange(func() { changed <- struct{}{} })
	a.Start()
	t.Cleanup(a.Stop)
	require.IsType(t, &controller.Announce{}, <-c.heard)
	<-changed
	require.IsType(t, &controller.Ready{}, <-c.heard)
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
	require.True(t, holds, "a renewed lease counts from when its report was sent")
	clock.Advance(leaseDuration / 10)
	_, holds = a.Lease()
	require.False(t, holds, "the agent lets go a fifth before control does")
}

func TestForgottenUpstreamIsAnnouncedAgain(t *testing.T) {
	a, c, _, changed := newAnnouncer(t)
	a.Superseded()
	require.IsType(t, &controller.Announce{}, <-c.heard)
	<-changed
	require.IsType(t, &controller.Ready{}, <-c.heard)
	lease, holds := a.Lease()
	require.True(t, holds)
	require.Equal(t, identifier.FencingToken(2), lease.Token)
}

func TestSupersededUpstreamGivesNoOrders(t *testing.T) {
	a, c, _, changed := newAnnouncer(t)
	c.supersede()
	a.Superseded()
	require.IsType(t, &controller.Announce{}, <-c.heard)
	<-changed
	_, holds := a.Lease()
	require.False(t, holds)
	require.True(t, a.IsSuperseded())
}
