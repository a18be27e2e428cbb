package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// newEngineReducer returns a reducer with one engine.
func newEngineReducer() *balancer.Reducer {
	r := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10, ReleaseGracePeriod: time.Hour})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("u", "drafting")}})
	return r
}

// fillUntilRefused sends requests until one is refused. It returns how many were
// sent, and the refusal.
func fillUntilRefused(r *balancer.Reducer, now time.Time, resubmitted bool) (int, balancer.Refuse) {
	for n := 0; ; n++ {
		q := generationRequest(identifier.RequestID(fmt.Sprintf("%v-%d", resubmitted, n)))
		q.Resubmitted = resubmitted
		if refused, ok := arrive(r, now, q).(balancer.Refuse); ok {
			return n, refused
		}
	}
}

// Load pattern: more requests at once than an engine has slots for. A request that
// would miss its objective is refused at once with a Retry-After; the reducer
// doesn't queue it.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	sent, refused := fillUntilRefused(newEngineReducer(), start, false)
	require.GreaterOrEqual(t, sent, 5, "the engine can take some requests")
	require.LessOrEqual(t, sent, 20, "the requests sent can meet their objective")
	require.Equal(t, balancer.Overloaded, refused.Reason)
	require.Greater(t, refused.RetryAfter, 500*time.Millisecond)
	require.LessOrEqual(t, refused.RetryAfter, 2*time.Second, "a third of the caller's remaining time")
}

// Load pattern: an outage ends, and all requests that it refused are sent again at
// once. They must not keep out requests that can still meet their objective, and no
// more of them are admitted than can be served soon.
func TestReturnsAfterAnOutageDontKeepOutFreshRequests(t *testing.T) {
	r := newEngineReducer()
	resubmitted, _ := fillUntilRefused(r, start, true)
	require.GreaterOrEqual(t, resubmitted, 5, "some resubmitted requests are admitted")
	require.LessOrEqual(t, resubmitted, 30)
	fresh, _ := fillUntilRefused(r, start, false)
	require.GreaterOrEqual(t, fresh, 5)
}

// Load pattern: requests that are sent again late. A request whose response could
// not be complete before its caller gives up is not begun.
func TestNothingIsBegunThatCantBeEnded(t *testing.T) {
	r := newEngineReducer()
	q := generationRequest("late")
	q.Resubmitted = true
	q.Deadline = start.Add(700 * time.Millisecond)
	require.IsType(t, balancer.Refuse{}, r.Reduce(start, balancer.RequestArrived{Request: q}), "a response of mean length takes 0.9 s")
}

// Load pattern: many requests are refused at the same time. Their Retry-After
// differs, so that they are not all sent again at once.
func TestReturnsAreSpread(t *testing.T) {
	r := newEngineReducer()
	fillUntilRefused(r, start, false)
	waits := make(map[time.Duration]bool)
	for i := range 50 {
		q := generationRequest("x")
		q.ID = identifier.RequestID(fmt.Sprintf("x%d", i))
		q.Random = uint64(i)
		waits[arrive(r, start, q).(balancer.Refuse).RetryAfter.Round(50*time.Millisecond)] = true
	}
	require.Greater(t, len(waits), 10)
}

// Load pattern: no engine has weights yet. Callers are told to wait about as long
// as they can.
func TestNothingCanServeYet(t *testing.T) {
	r := newEngineReducer()
	empty := upstream("u", "drafting")
	empty.Release = 0
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{empty}})
	refused := arrive(r, start, generationRequest("a")).(balancer.Refuse)
	require.Equal(t, balancer.NoUpstream, refused.Reason)
	require.GreaterOrEqual(t, refused.RetryAfter, 1500*time.Millisecond)
}

// Load pattern: other entries fill an engine. Its load reports count, and not only
// what this entry has sent.
func TestReportsOfOtherEntriesCount(t *testing.T) {
	r := newEngineReducer()
	sent := arrive(r, start, generationRequest("a")).(balancer.Send)
	r.Reduce(start, balancer.ResponseStarted{Request: sent.Request, Load: &balancer.Load{Running: 16, Waiting: 8, Slots: 16}})
	require.IsType(t, balancer.Refuse{}, arrive(r, start, generationRequest("b")))
	require.IsType(t, balancer.Send{}, arrive(r, start.Add(4*time.Second), generationRequest("c")), "an old report no longer counts")
}
