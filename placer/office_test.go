package placer

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

// controlLog stands for the control replicas: it answers commands, and keeps those that it has
// taken.
type controlLog struct {
	answer func(ctx context.Context) (any, error)

	mu    sync.Mutex
	state *declarer.State
	last  uint64
}

func (l *controlLog) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	answer, err := l.answer(ctx)
	if _, ok := request.(*submitter.LeaderRequest); ok && err == nil {
		return &submitter.LeaderAnswer{Leader: addr, Term: 1}, nil
	}
	if _, taken := answer.(*declarer.Answer); !taken {
		return answer, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return l.state.Apply(l.last, time.Unix(1_700_000_000, 0), request.(*submitter.SubmitCommand).Data), nil
}

// Guards against requests that still reach an upstream after its departure was confirmed: only the
// memory of some processes held it (review cases 3 and 8).
func TestDepartureIsConfirmedOnceTheLogHoldsIt(t *testing.T) {
	for name, test := range map[string]struct {
		answer    func(ctx context.Context) (any, error)
		confirmed bool
	}{
		"no replica answers": {answer: func(ctx context.Context) (any, error) { <-ctx.Done(); return nil, ctx.Err() }},
		"no replica leads":   {answer: func(context.Context) (any, error) { return &submitter.Refused{Kind: explainer.Unavailable}, nil }},
		"a leader refuses":   {answer: func(context.Context) (any, error) { return &declarer.Rejected{Problem: "odd"}, nil }},
		"the log holds it":   {answer: func(context.Context) (any, error) { return &declarer.Answer{}, nil }, confirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := &controlLog{answer: test.answer, state: declarer.New(asserter.Strict{})}
			clock := clockwork.NewRealClock()
			view := declarer.NewView(asserter.Strict{})
			replica := netip.MustParseAddrPort("10.0.0.1:1")
			s := spreader.New(spreader.Config{Process: "entry-1"}, nil, registrar.New(registrar.Config{}), view, nil, clock, zap.NewNop())
			s.SetReplicas(spreader.Replicas{Index: 7, Led: true, Addresses: []netip.AddrPort{replica}})
			c := newControlAPI(parser.Placement{}, submitter.New(l, nil, clock, metrics.NewSet(), zap.NewNop()), s, view, clock, metrics.NewSet(), zap.NewNop())
			ready := registrar.Record{Upstream: "i-1", Incarnation: 1, Sequence: 1, Service: "booking", State: registrar.Ready}
			require.NoError(t, c.Report(t.Context(), ready))
			require.Zero(t, l.last, "an upstream that is ready reports again")
			draining := ready
			draining.State, draining.Sequence = registrar.Draining, 2
			for i, report := range []func() error{
				func() error { return c.Report(t.Context(), draining) },
				func() error { return c.Leave(t.Context(), "i-1", 0) },
			} {
				err := report()
				if !test.confirmed {
					require.Contains(t, []explainer.Kind{explainer.Unavailable, explainer.InvalidInput}, explainer.KindOf(err))
					require.Empty(t, l.state.Departures(0))
					continue
				}
				require.NoError(t, err)
				held := l.state.Departures(0)
				require.Len(t, held, 1)
				require.Equal(t, identifier.Upstream("i-1"), held[0].Departure.Upstream)
				require.Equal(t, i == 1, held[0].Departure.Gone)
				require.NoError(t, report())
				require.EqualValues(t, i+1, l.last, "one that reports again takes no further entry of the log")
			}
		})
	}
}

// Guards against an upstream whose spoilt report or departure claimed a start beyond all others: its
// own reports were late ones from then on, and its service had no upstream.
func TestSpoiltStartOfAnUpstreamIsRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	view := declarer.NewView(asserter.Strict{})
	s := spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{StaleAfter: time.Hour, ForgetAfter: time.Hour}), view, nil, clock, zap.NewNop())
	s.SetReplicas(spreader.Replicas{Index: 1, Led: true})
	c := newControlAPI(parser.Placement{}, nil, s, view, clock, metrics.NewSet(), zap.NewNop())
	sound := registrar.Record{
		Upstream: "i-1", Incarnation: identifier.Incarnation(clock.Now().UnixMilli()), Sequence: 1, Service: "booking", State: registrar.Ready,
	}
	require.NoError(t, c.Report(t.Context(), sound))
	spoilt := sound
	spoilt.Incarnation, spoilt.Service = math.MaxUint64, "elsewhere"
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(c.Report(t.Context(), spoilt)))
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(c.Leave(t.Context(), "i-1", math.MaxUint64)))
	known := s.Upstreams()
	require.Len(t, known, 1)
	require.Equal(t, sound, known[0].Record)
}
