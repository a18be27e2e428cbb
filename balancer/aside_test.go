package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
)

// Guards against ejections that the log doesn't show: each ejection, with its cause
// and end, and each recovery must be reported exactly once.
func TestAsidesAreTold(t *testing.T) {
	r := newPlainReducer("a")
	for range 3 {
		require.Empty(t, r.Asides())
		sent := arrive(r, start, bookingRequest("x", false)).(balancer.Send)
		r.Reduce(start, balancer.Broke{Request: sent.Request, Cause: balancer.Lost})
	}
	want := balancer.Aside{Upstream: "a", Until: start.Add(700 * time.Millisecond), Cause: balancer.Lost, Failures: 3}
	require.Equal(t, []balancer.Aside{want}, r.Asides())
	require.Empty(t, r.Asides(), "each change is reported once")

	later := start.Add(time.Second)
	arrive(r, later, bookingRequest("p", false))
	r.Reduce(later, balancer.Answering{Request: "p", Status: 200})
	r.Reduce(later, balancer.Ended{Request: "p"})
	require.Equal(t, []balancer.Aside{{Upstream: "a"}}, r.Asides())
}
