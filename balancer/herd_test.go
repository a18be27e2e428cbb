package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
)

// Load pattern: eight entries see engines with short queues at the same time.
// Guards against all of them filling these queues: the seven others are assumed to
// have sent as much as this entry since the report.
func TestEntriesWithTheSameViewDontAllChooseOneEngine(t *testing.T) {
	r := newEngineReducer()
	views := []balancer.UpstreamView{upstream("a", "drafting"), upstream("b", "drafting")}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	// This entry has one of the eight requests at each engine.
	for _, id := range []string{"x", "y"} {
		sent := arrive(r, start, generationRequest(requestID(id))).(balancer.Send)
		r.Reduce(start, balancer.ResponseStarted{Request: sent.Request})
	}
	observe := func(now time.Time, running int) {
		for _, name := range []string{"a", "b"} {
			r.Reduce(now, balancer.LoadObserved{Upstream: upstreamName(name), Load: balancer.Load{Running: running}})
		}
	}
	now := start.Add(time.Second)
	observe(now, 8)
	sent, refused := 0, false
	for i := range 12 {
		q := generationRequest(requestID(string(rune('f' + i))))
		if _, ok := arrive(r, now, q).(balancer.Send); ok {
			sent++
		} else {
			refused = true
		}
	}
	require.True(t, refused, "twelve requests here mean about a hundred at two engines with sixteen slots each")
	require.GreaterOrEqual(t, sent, 1)
	require.LessOrEqual(t, sent, 6)
}
