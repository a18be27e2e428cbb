package placer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/parser"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

// callersTime is how long callers wait for an answer.
const callersTime = time.Second

// silentExcept stands for control replicas of which only the one at leader answers. Without a leader, none does.
type silentExcept struct {
	leader   netip.AddrPort
	document []byte // packed
}

func newSilentExcept(t *testing.T, leader netip.AddrPort) silentExcept {
	data, err := declarer.EncodeCommand(&declarer.Replace{Declaration: declarer.Declaration{Version: 1}, Document: []byte("{}")})
	require.NoError(t, err)
	state := declarer.New(asserter.Strict{})
	state.Apply(1, time.Now(), data)
	return silentExcept{leader: leader, document: state.CompressedDocument()}
}

func (s silentExcept) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	if addr != s.leader {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch request.(type) {
	case *submitter.LeaderRequest:
		return &submitter.LeaderAnswer{Leader: addr, Term: 2}, nil
	case *ReadDocument:
		return &DocumentAnswer{Known: true, Document: s.document}, nil
	default:
		return &declarer.Answer{}, nil
	}
}

// newReachAPI returns the control API of a process whose replicas answer as c says, and its spreader.
func newReachAPI(c submitter.Caller, replicas []netip.AddrPort) (*controlAPI, *spreader.Spreader) {
	clock, set, view := clockwork.NewRealClock(), metrics.NewSet(), declarer.NewView(asserter.Strict{})
	table := registrar.New(registrar.Config{StaleAfter: time.Hour, ForgetAfter: time.Hour})
	s := spreader.New(spreader.Config{Process: "entry-1"}, replicas, table, view, nil, clock, zap.NewNop())
	return newControlAPI(parser.Placement{}, submitter.New(c, replicas, clock, set, zap.NewNop()), s, view, clock, set, zap.NewNop()), s
}

var replicaAddresses = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
	netip.MustParseAddrPort("10.0.0.4:1"), netip.MustParseAddrPort("10.0.0.5:1"),
}

// callsOf returns the calls that a caller of a process may make.
func callsOf(c *controlAPI) map[string]func(ctx context.Context) error {
	leaving := registrar.Record{Upstream: "i-1", Incarnation: 1, Sequence: 1, Service: "booking", State: registrar.Draining}
	return map[string]func(ctx context.Context) error{
		"Replace":     func(ctx context.Context) error { return c.Replace(ctx, declarer.Declaration{Version: 1}, nil) },
		"NameRelease": func(ctx context.Context) error { return c.NameRelease(ctx, "m", 1) },
		"Evacuate":    func(ctx context.Context) error { return c.submitEvacuation(ctx, "z", false) },
		"Report":      func(ctx context.Context) error { return c.Report(ctx, leaving) },
		"Leave":       func(ctx context.Context) error { return c.Leave(ctx, "i-1", 1) },
		"Document":    func(ctx context.Context) error { _, err := c.Document(ctx); return err },
	}
}

// Guards against processes that are cut off and hold a call until its caller leaves (incident SHORT).
func TestProcessThatLostControlRejectsAtOnce(t *testing.T) {
	for name := range callsOf(nil) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s := newReachAPI(silentExcept{}, replicaAddresses)
				time.Sleep(2 * callersTime) // no replica has told that it knows a leader
				require.True(t, s.HasLostControl())
				begun := time.Now()
				err := callsOf(c)[name](t.Context())
				require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
				require.Less(t, time.Since(begun), callersTime/2, "the caller could have asked another process")
				time.Sleep(2 * callersTime) // the requests to silent replicas have ended then
			})
		})
	}
}

// Guards against calls that spend their caller's time on one silent replica after the other (incident SHORT).
func TestCallsAreServedBesideSilentReplicas(t *testing.T) {
	for name := range callsOf(nil) {
		for _, lost := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					// The last one leads: of five replicas the first two may be silent, and here all others are.
					c, s := newReachAPI(newSilentExcept(t, replicaAddresses[4]), replicaAddresses)
					if lost {
						time.Sleep(2 * callersTime)
					}
					require.Equal(t, lost, s.HasLostControl())
					ctx, cancel := context.WithTimeout(t.Context(), callersTime)
					defer cancel()
					require.NoError(t, callsOf(c)[name](ctx))
					time.Sleep(2 * callersTime) // the requests to silent replicas have ended then
				})
			})
		}
	}
}
