package placer

import (
	"bytes"
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
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

// stateCaller is a control replica that applies each command after a delay.
type stateCaller struct {
	state *declarer.State
	delay time.Duration
	calls uint64
}

func (c *stateCaller) Call(_ context.Context, addr netip.AddrPort, request any) (any, error) {
	if _, ok := request.(*submitter.LeaderRequest); ok {
		return &submitter.LeaderAnswer{Leader: addr, Term: 1}, nil
	}
	time.Sleep(c.delay)
	c.calls++
	return c.state.Apply(c.calls, time.Now(), request.(*submitter.SubmitCommand).Data), nil
}

// Guards against an order that hangs here and undoes a later one, one that is refused because
// this process is a little behind, and one for a zone that does not exist.
func TestOrdersToEvacuate(t *testing.T) {
	for name, c := range map[string]struct {
		zone     identifier.AvailabilityZone
		behind   bool // this process does not know the orders of before
		delay    time.Duration
		hungUp   bool
		expected explainer.Kind
		calls    uint64
	}{
		"in time":                  {zone: "z1", calls: 1},
		"behind":                   {zone: "z1", behind: true, calls: 2},
		"behind and held up":       {zone: "z1", behind: true, delay: 2 * freshOrderTime, expected: explainer.Unavailable, calls: 1},
		"held up":                  {zone: "z1", delay: 2 * freshOrderTime, calls: 1},
		"of an upstream":           {zone: "z3", calls: 1},
		"hung up":                  {zone: "z1", hungUp: true, expected: explainer.Unavailable},
		"a zone that is not there": {zone: "z9", expected: explainer.InvalidInput},
		"no zone":                  {expected: explainer.InvalidInput},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				caller := &stateCaller{state: declarer.New(asserter.Strict{})}
				view, set := declarer.NewView(asserter.Strict{}), metrics.NewSet()
				address := netip.MustParseAddrPort("127.0.0.1:1")
				sp := spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{StaleAfter: time.Hour, ForgetAfter: time.Hour}), view, nil, clock, zap.NewNop())
				_, err := sp.Report(registrar.Record{Upstream: "u", Service: "app", State: registrar.Ready, AvailabilityZone: "z3", Address: address})
				require.NoError(t, err)
				placement := parser.Placement{Regions: map[identifier.AvailabilityZone]identifier.Region{"z1": "r", "z2": "r"}}
				api := newControlAPI(placement, submitter.New(caller, []netip.AddrPort{address}, clock, set, zap.NewNop()), sp, view, clock, set, zap.NewNop())
				require.NoError(t, api.Evacuate(t.Context(), "z1", false))
				require.NoError(t, api.submitEvacuation(t.Context(), "z1", true))
				before := caller.state.Declared()
				require.Empty(t, before.Evacuations)
				if !c.behind {
					view.Set(before)
				}
				caller.delay, caller.calls = c.delay, 0
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.hungUp {
					cancel()
				}
				err = api.Evacuate(ctx, c.zone, false)
				require.Equal(t, c.calls, caller.calls)
				var text bytes.Buffer
				set.WritePrometheus(&text)
				if c.expected == "" {
					require.NoError(t, err)
					require.Contains(t, caller.state.Declared().Evacuations, c.zone)
					return
				}
				require.Equal(t, c.expected, explainer.KindOf(err))
				require.Equal(t, before, caller.state.Declared())
				require.Contains(t, text.String(), `outcome="`+string(c.expected)+`"} 1`)
				if c.expected == explainer.InvalidInput {
					require.ErrorContains(t, err, `"`+string(c.zone)+`" does not exist`)
					require.ErrorContains(t, err, "z1, z2, z3")
				}
			})
		})
	}
}
