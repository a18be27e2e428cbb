package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
)

// Whoever reads the log learns of each upstream that is left alone, why, and when it
// serves again.
func TestAsidesAreTold(t *testing.T) {
	r := plain("a")
	for range 3 {
		require.Empty(t, r.Asides())
		sent := arrive(r, start, booking("x", false)).(balancer.Send)
		r.Reduce(start, balancer.Broke{Request: sent.Request, Cause: balancer.Lost})
	}
	want := balancer.Aside{Upstream: "a", Until: start.Add(700 * time.Millisecond), Cause: balancer.Lost, Failures: 3}
	require.Equal(t, []balancer.Aside{want}, r.Asides())
	require.Empty(t, r.Asides(), "each is told once")

	later := start.Add(time.Second)
	arrive(r, later, booking("p", false))
	r.Reduce(later, balancer.Answering{Request: "p", Status: 200})
	r.Reduce(later, balancer.Ended{Request: "p"})
	require.Equal(t, []balancer.Aside{{Upstream: "a"}}, r.Asides())
}
