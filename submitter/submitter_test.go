package submitter_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/submitter"
)

var addresses = []netip.AddrPort{
	netip.MustParseAddrPort("127.0.0.1:1"),
	netip.MustParseAddrPort("127.0.0.2:1"),
	netip.MustParseAddrPort("127.0.0.3:1"),
}

type callerFunc func(addr netip.AddrPort) (any, error)

func (f callerFunc) Call(_ context.Context, addr netip.AddrPort, _ any) (any, error) {
	return f(addr)
}

// submit runs Submit, and advances the clock by a second whenever the submitter waits
// for it.
func submit(ctx context.Context, clock *clockwork.FakeClock, s *submitter.Submitter) (any, error) {
	advanceCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for clock.BlockUntilContext(advanceCtx, 1) == nil {
			clock.Advance(time.Second)
		}
	}()
	return s.Submit(ctx, []byte("command"))
}

func TestSubmitFollowsTheLeader(t *testing.T) {
	var asked []netip.AddrPort
	clock := clockwork.NewFakeClock()
	s := submitter.New(callerFunc(func(addr netip.AddrPort) (any, error) {
		asked = append(asked, addr)
		if addr != addresses[2] {
			return &submitter.Refused{Kind: explainer.Unavailable, Leader: addresses[2]}, nil
		}
		return "done", nil
	}), addresses, clock, metrics.NewSet(), zap.NewNop())
	result, err := submit(t.Context(), clock, s)
	require.NoError(t, err)
	require.Equal(t, "done", result)
	require.Equal(t, []netip.AddrPort{addresses[0], addresses[2]}, asked)
}

func TestSubmitPassesOverTheUnreachable(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := submitter.New(callerFunc(func(addr netip.AddrPort) (any, error) {
		if addr == addresses[0] {
			return nil, errors.New("unreachable")
		}
		return "done", nil
	}), addresses, clock, metrics.NewSet(), zap.NewNop())
	result, err := submit(t.Context(), clock, s)
	require.NoError(t, err)
	require.Equal(t, "done", result)
}

func TestSubmitReturnsARefusalForGood(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := submitter.New(callerFunc(func(netip.AddrPort) (any, error) {
		return &submitter.Refused{Kind: explainer.InvalidInput, Problem: "bad command"}, nil
	}), addresses, clock, metrics.NewSet(), zap.NewNop())
	_, err := submit(t.Context(), clock, s)
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
}

func TestSubmitWithoutALeaderEndsUnavailable(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	clock := clockwork.NewFakeClock()
	s := submitter.New(callerFunc(func(netip.AddrPort) (any, error) {
		calls++
		if calls == len(addresses) {
			cancel()
		}
		return nil, errors.New("unreachable")
	}), addresses, clock, metrics.NewSet(), zap.NewNop())
	_, err := submit(ctx, clock, s)
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
}

// Guards against a process that ends because its settings name no control replica.
func TestSubmitWithoutAddresses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := submitter.New(callerFunc(func(netip.AddrPort) (any, error) { return nil, errors.New("no address") }), nil, clock, metrics.NewSet(), zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.Submit(ctx, []byte("command"))
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
}

// Guards against a claim that ends unanswered, since a leader that was late once is left alone
// for as long as callers wait (TestKilledEntryLeavesTheBookingToItsResend failed so once).
func TestSubmitReturnsToALeaderThatWasLateOnce(t *testing.T) {
	const callersWait = 3 * time.Second // a claim's timeout
	clock := clockwork.NewFakeClock()
	late := true
	s := submitter.New(callerFunc(func(addr netip.AddrPort) (any, error) {
		switch {
		case addr != addresses[0]:
			return &submitter.Refused{Kind: explainer.Unavailable, Leader: addresses[0]}, nil
		case late:
			late = false
			clock.Advance(time.Second) // the call's timeout
			return nil, context.DeadlineExceeded
		default:
			return "done", nil
		}
	}), addresses, clock, metrics.NewSet(), zap.NewNop())
	began := clock.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil {
			if clock.Since(began) > callersWait {
				cancel()
				return
			}
			clock.Advance(100 * time.Millisecond) // the pause between two tries
		}
	}()
	result, err := s.Submit(ctx, []byte("command"))
	require.NoError(t, err)
	require.Equal(t, "done", result)
}
