package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// Guards against sound upstreams that get no requests: answers that an entry had no memory for
// counted as theirs to fail.
func TestEntryWithoutMemoryEjectsNobody(t *testing.T) {
	r := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("only", "booking")}})
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		id := identifier.RequestID(fmt.Sprint(i))
		q := balancer.Request{ID: id, Service: "booking", Deadline: now.Add(5 * time.Second), MaximumAttempts: 1, Repeatable: true}
		require.IsType(t, balancer.Send{}, arrive(r, now, q), "request %d", i)
		r.Reduce(now, balancer.AttemptConnected{Request: id, Attempt: 1})
		r.Reduce(now, balancer.AttemptFailed{Request: id, Attempt: 1, Cause: balancer.NoMemory})
	}
	require.Empty(t, r.TakeEjectionChanges())
}
