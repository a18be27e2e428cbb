package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
)

// Load pattern: eight entries see one engine with a short queue at the same time.
// What this entry has sent since the report, the seven others are taken to have
// sent, too.
func TestEntriesWithTheSameViewDontAllChooseOneEngine(t *testing.T) {
	r := one()
	views := []balancer.UpstreamView{upstream("a", "drafting"), upstream("b", "drafting")}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	// One request here among eight at each engine.
	for _, id := range []string{"x", "y"} {
		sent := arrive(r, start, generation(identifierOf(id))).(balancer.Send)
		r.Reduce(start, balancer.Answering{Request: sent.Request})
	}
	observe := func(now time.Time, running int) {
		for _, name := range []string{"a", "b"} {
			r.Reduce(now, balancer.LoadObserved{Upstream: upstreamOf(name), Load: balancer.Load{Running: running}})
		}
	}
	now := start.Add(time.Second)
	observe(now, 8)
	sent, refused := 0, false
	for i := range 12 {
		q := generation(identifierOf(string(rune('f' + i))))
		if _, ok := arrive(r, now, q).(balancer.Send); ok {
			sent++
		} else {
			refused = true
		}
	}
	require.True(t, refused, "twelve here are about a hundred at two engines of sixteen slots")
	require.GreaterOrEqual(t, sent, 1)
	require.LessOrEqual(t, sent, 6)
}
