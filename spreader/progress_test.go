package spreader

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/registrar"
)

// Guards against a process that is cut off from control and whose metrics don't say since when
// its configuration may be out of date.
func TestMetricsSayHowLongTheStateIsUnconfirmed(t *testing.T) {
	clock, set := clockwork.NewFakeClock(), metrics.NewSet()
	s := New(Config{Process: "p", Metrics: set}, nil, registrar.New(registrar.Config{}), declarer.NewView(asserter.Strict{}),
		&fetchEndpoint{t: t, during: func() {}}, clock, zap.NewNop())
	requireUnconfirmed := func(seconds string) {
		var b bytes.Buffer
		set.WritePrometheus(&b)
		require.Contains(t, b.String(), "celeryvalve_declaration_unconfirmed_seconds "+seconds+"\n")
	}
	from := netip.MustParseAddrPort("10.0.0.1:1")
	clock.Advance(3 * time.Second)
	requireUnconfirmed("3")
	s.applyUpdate(&Update{}, from, &sentState{})
	requireUnconfirmed("3")
	s.applyUpdate(&Update{Led: true}, from, &sentState{})
	requireUnconfirmed("0")
	clock.Advance(2 * time.Second)
	requireUnconfirmed("2")
}
