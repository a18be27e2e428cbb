package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// newPlainReducer returns a reducer with upstreams of a service without engines.
func newPlainReducer(names ...identifier.Upstream) *balancer.Reducer {
	r := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
	var views []balancer.UpstreamView
	for _, name := range names {
		views = append(views, upstream(name, "booking"))
	}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	return r
}

func bookingRequest(id identifier.RequestID, repeatable bool) balancer.Request {
	return balancer.Request{ID: id, Service: "booking", Repeatable: repeatable, MaximumAttempts: 2, Objective: time.Second}
}

// A deadline that passes is not a failure of the upstream: ten in a row must not
// eject it.
func TestEndOfTimeBlamesNoUpstream(t *testing.T) {
	r := newPlainReducer("a")
	for range 10 {
		sent := arrive(r, start, bookingRequest("x", true)).(balancer.Send)
		fail := r.Reduce(start, balancer.AttemptFailed{Request: sent.Request, Cause: balancer.Expired})
		require.Equal(t, balancer.Fail{Request: "x", Reason: balancer.DeadlineExceeded}, fail)
	}
	require.IsType(t, balancer.Send{}, arrive(r, start, bookingRequest("y", true)))
}

func TestFailingUpstreamIsSetAsideAndTriedAgain(t *testing.T) {
	r := newPlainReducer("a")
	for range 3 {
		sent := arrive(r, start, bookingRequest("x", false)).(balancer.Send)
		r.Reduce(start, balancer.AttemptFailed{Request: sent.Request, Cause: balancer.ConnectionLost})
	}
	require.IsType(t, balancer.Refuse{}, arrive(r, start, bookingRequest("y", false)))
	later := start.Add(time.Second)
	probe := arrive(r, later, bookingRequest("p", false))
	require.IsType(t, balancer.Send{}, probe)
	require.IsType(t, balancer.Refuse{}, arrive(r, later, bookingRequest("q", false)), "an ejected upstream is tried by one request at a time")
	r.Reduce(later, balancer.ResponseStarted{Request: "p", Status: 200})
	r.Reduce(later, balancer.ResponseCompleted{Request: "p"})
	require.IsType(t, balancer.Send{}, arrive(r, later, bookingRequest("q", false)))
}

func TestRetryBudgetBoundsRepeats(t *testing.T) {
	r := newPlainReducer("a", "b")
	retries := 0
	for i := range 200 {
		id := identifier.RequestID(rune('0' + i))
		sent, ok := arrive(r, start.Add(time.Duration(i)*20*time.Second), bookingRequest(id, true)).(balancer.Send)
		if !ok {
			continue
		}
		now := start.Add(time.Duration(i) * 20 * time.Second)
		if _, ok := r.Reduce(now, balancer.AttemptFailed{Request: sent.Request, Cause: balancer.ConnectionLost}).(balancer.Send); ok {
			retries++
			r.Reduce(now, balancer.AttemptFailed{Request: sent.Request, Cause: balancer.ConnectionLost})
		}
	}
	require.LessOrEqual(t, retries, 10+200/5)
	require.Greater(t, retries, 10)
}

// Whatever happens to its attempts, a request that may not be repeated is sent
// again only while no attempt may have run. Refuse is answered only if no attempt
// may have run, no upstream gets a request twice, and every request ends.
func TestRefusedIsTrueUnderFaults(t *testing.T) {
	causes := []balancer.Cause{
		balancer.NotConnected, balancer.NotExecuted, balancer.Misdirected, balancer.ConnectionLost, balancer.FirstByteTimedOut, balancer.ProtocolError, balancer.Expired,
	}
	rapid.Check(t, func(t *rapid.T) {
		r := newPlainReducer("a", "b", "c")
		now := start
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			repeatable := rapid.Bool().Draw(t, "repeatable")
			id := identifier.RequestID(rune('A' + i))
			mayHaveRun := false
			tried := make(map[identifier.Upstream]int)
			effect := arrive(r, now, bookingRequest(id, repeatable))
			for steps := 0; ; steps++ {
				require.Less(t, steps, 20)
				sent, ok := effect.(balancer.Send)
				if !ok {
					break
				}
				require.True(t, repeatable || !mayHaveRun, "the request may have run already")
				cause := rapid.SampledFrom(append(causes, "")).Draw(t, "cause")
				if cause != balancer.NotConnected {
					tried[sent.Target.Upstream]++
					require.Equal(t, 1, tried[sent.Target.Upstream])
				}
				if cause == "" {
					r.Reduce(now, balancer.ResponseStarted{Request: id, Status: 200})
					effect = r.Reduce(now, balancer.ResponseCompleted{Request: id})
					require.IsType(t, balancer.NoEffect{}, effect)
					break
				}
				switch cause {
				case balancer.NotConnected, balancer.NotExecuted, balancer.Misdirected:
				default:
					mayHaveRun = true
				}
				effect = r.Reduce(now, balancer.AttemptFailed{Request: id, Cause: cause})
			}
			if _, refused := effect.(balancer.Refuse); refused {
				require.False(t, mayHaveRun, "a refused request must not have run")
			}
			require.LessOrEqual(t, len(tried), 2)
		}
		require.Zero(t, r.InFlight())
	})
}

// answerPlain sends a request of a plain service, lets it take 20 ms, and returns where it went.
func answerPlain(r *balancer.Reducer, now time.Time, n int, fails func(identifier.Upstream) bool) identifier.Upstream {
	q := bookingRequest(identifier.RequestID(fmt.Sprint("r", n)), false)
	q.Random = uint64(n)
	sent, ok := arrive(r, now, q).(balancer.Send)
	if !ok {
		return ""
	}
	now = now.Add(20 * time.Millisecond)
	r.Reduce(now, balancer.ResponseStarted{Request: q.ID})
	r.Reduce(now, balancer.ResponseCompleted{Request: q.ID, IsError: fails(sent.Target.Upstream)})
	return sent.Target.Upstream
}

// Load pattern: 20 requests a second at three upstreams, one in each region, of which some
// answer part of the requests with errors. Guards against an upstream of the own region that
// is avoided for good after one failure, and against one that fails half of the time and
// whose successes in between let it go on.
func TestFailuresMoveRequestsAsFarAsTheyLast(t *testing.T) {
	tests := []struct {
		name         string
		every        map[identifier.Upstream]int // each such response fails
		fewest, most int                         // of 200 requests, at the upstream in the own region
	}{
		{"one failure", map[identifier.Upstream]int{"a": 150}, 160, 200},
		{"all fail alike now and then", map[identifier.Upstream]int{"a": 8, "b": 8, "c": 8}, 130, 200},
		{"fails every second", map[identifier.Upstream]int{"a": 2}, 0, 80},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newPlainReducer()
			views := []balancer.UpstreamView{upstream("a", "booking"), upstream("b", "booking"), upstream("c", "booking")}
			views[1].Region, views[2].Region = "far", "farther"
			r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
			answered, sent := make(map[identifier.Upstream]int), make(map[identifier.Upstream]int)
			for i := range 200 {
				sent[answerPlain(r, start.Add(time.Duration(i)*50*time.Millisecond), i, func(u identifier.Upstream) bool {
					answered[u]++
					return test.every[u] > 0 && answered[u]%test.every[u] == 0
				})]++
			}
			require.GreaterOrEqual(t, sent["a"], test.fewest, "%v", sent)
			require.LessOrEqual(t, sent["a"], test.most, "%v", sent)
		})
	}
}

// Load pattern: an upstream hangs for a service whose callers wait a second. Guards against
// requests that wait there to their end while others could serve them.
func TestHangingUpstreamIsLeftInTime(t *testing.T) {
	r := newPlainReducer("a", "b")
	q := bookingRequest("x", true)
	q.Objective, q.Deadline = 120*time.Millisecond, start.Add(time.Second)
	sent := r.Reduce(start, balancer.RequestArrived{Request: q}).(balancer.Send)
	require.Less(t, sent.FirstByteTimeout, time.Second/2, "the other upstream needs time too")
	later := start.Add(sent.FirstByteTimeout)
	again := r.Reduce(later, balancer.AttemptFailed{Request: "x", Cause: balancer.FirstByteTimedOut}).(balancer.Send)
	require.NotEqual(t, sent.Target.Upstream, again.Target.Upstream)
}

// Why a broken request isn't sent again is told apart: attempts, time, budget and upstreams.
func TestReasonWithoutAnotherAttempt(t *testing.T) {
	for want, change := range map[balancer.Reason]func(q *balancer.Request, r *balancer.Reducer){
		balancer.NoAttemptLeft:   func(q *balancer.Request, _ *balancer.Reducer) { q.MaximumAttempts = 1 },
		balancer.DeadlineTooNear: func(q *balancer.Request, _ *balancer.Reducer) { q.Deadline = start.Add(time.Second) },
		balancer.NoBudget:        func(_ *balancer.Request, r *balancer.Reducer) { r.Reduce(start, balancer.RetryBurstChanged{}) },
		balancer.NoUpstream:      func(q *balancer.Request, _ *balancer.Reducer) { q.Service = "alone" },
	} {
		r := newPlainReducer("a", "b")
		if want == balancer.NoUpstream {
			r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("c", "alone")}})
			r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "alone"}}})
		}
		q := bookingRequest("x", true)
		q.Deadline = start.Add(3 * time.Second)
		change(&q, r)
		r.Reduce(start, balancer.RequestArrived{Request: q})
		effect := r.Reduce(start.Add(990*time.Millisecond), balancer.AttemptFailed{Request: "x", Cause: balancer.ConnectionLost})
		require.Equal(t, balancer.Fail{Request: "x", Reason: want}, effect)
	}
}
