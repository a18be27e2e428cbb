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
		require.Empty(t, r.TakeEjectionChanges())
		sent := arrive(r, start, bookingRequest("x", false)).(balancer.Send)
		r.Reduce(start, balancer.AttemptFailed{Request: sent.Request, Cause: balancer.ConnectionLost})
	}
	want := balancer.EjectionChange{Upstream: "a", Until: start.Add(700 * time.Millisecond), Cause: balancer.ConnectionLost, Failures: 3}
	require.Equal(t, []balancer.EjectionChange{want}, r.TakeEjectionChanges())
	require.Empty(t, r.TakeEjectionChanges(), "each change is reported once")

	later := start.Add(time.Second)
	arrive(r, later, bookingRequest("p", false))
	r.Reduce(later, balancer.ResponseStarted{Request: "p", Status: 200})
	r.Reduce(later, balancer.ResponseCompleted{Request: "p"})
	require.Equal(t, []balancer.EjectionChange{{Upstream: "a"}}, r.TakeEjectionChanges())
}
