package placer

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
)

// replicaEndpoint stands for control replicas of which only some answer. It counts the
// departures that those have confirmed.
type replicaEndpoint struct {
	answering []netip.AddrPort
	index     uint64 // of the list of replicas that those which answer have

	mu   sync.Mutex
	held []registrar.Record
}

func (*replicaEndpoint) Open(context.Context, netip.AddrPort, any) (*connector.Stream, error) {
	return nil, context.Canceled
}

func (*replicaEndpoint) Replace(netip.AddrPort) {}

func (e *replicaEndpoint) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	if !slices.Contains(e.answering, addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = append(e.held, request.(*spreader.DepartureRequest).Record)
	return &spreader.DepartureResponse{Index: e.index}, nil
}

// Guards against requests that still reach an upstream after its departure was confirmed: the
// process that confirmed it was killed before any other one had learned of it (review case 3).
func TestDepartureIsConfirmedOnceAMajorityHoldsIt(t *testing.T) {
	var replicas []netip.AddrPort
	for _, a := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"} {
		replicas = append(replicas, netip.MustParseAddrPort(a))
	}
	const index = 7
	for name, test := range map[string]struct {
		answering []netip.AddrPort
		index     uint64
		confirmed bool
	}{
		"none answers":                     {index: index},
		"this one and another hold it":     {answering: replicas[1:2], index: index},
		"a majority holds it":              {answering: replicas[1:3], index: index, confirmed: true},
		"a majority of an outdated list":   {answering: replicas[1:3], index: index + 1},
		"all hold it":                      {answering: replicas[1:], index: index, confirmed: true},
		"one that doesn't know the newest": {answering: replicas[2:4], index: index - 1, confirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := &replicaEndpoint{answering: test.answering, index: test.index}
			clock := clockwork.NewRealClock()
			view := declarer.NewView(asserter.Strict{})
			cfg := spreader.Config{Process: "entry-1", Address: replicas[0], FollowAll: true}
			s := spreader.New(cfg, nil, registrar.New(registrar.Config{}), view, e, clock, zap.NewNop())
			s.SetReplicas(spreader.Replicas{Index: index, Led: true, Addresses: replicas})
			c := newControlAPI(parser.Placement{}, nil, s, nil, nil, view, clock, metrics.NewSet(), zap.NewNop())
			ready := registrar.Record{Upstream: "i-1", Incarnation: 1, Sequence: 1, Service: "booking", State: registrar.Ready}
			require.NoError(t, c.Report(t.Context(), ready))
			require.Empty(t, e.held, "an upstream that is ready reports again")
			draining := ready
			draining.State, draining.Sequence = registrar.Draining, 2
			for state, err := range map[registrar.State]error{
				registrar.Draining: c.Report(t.Context(), draining),
				registrar.Gone:     c.Leave(t.Context(), identifier.Upstream("i-1"), 0),
			} {
				if !test.confirmed {
					require.Equal(t, explainer.Unavailable, explainer.KindOf(err), "%s", state)
					continue
				}
				require.NoError(t, err)
				holding := 1 // this one
				for _, r := range e.held {
					if r.Upstream == "i-1" && r.State == state {
						holding++
					}
				}
				require.Greater(t, 2*holding, len(replicas))
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
	c := newControlAPI(parser.Placement{}, nil, s, nil, nil, view, clock, metrics.NewSet(), zap.NewNop())
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
