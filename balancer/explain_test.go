package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/balancer"
	"celeryvalve/limiter"
)

// At any load, from an idle system to one that refuses, an explanation says what then
// happens, and a twin that was never asked decides the same.
func TestExplanationIsWhatThenHappens(t *testing.T) {
	admitted, refused := 0, make(map[balancer.Reason]int)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "upstreams")
		tokens := rapid.SampledFrom([]int{0, 5000}).Draw(t, "kept")
		asked, twin := newPrefixReducer(n, tokens), newPrefixReducer(n, tokens)
		both := func(now time.Time, e balancer.Event) balancer.Effect {
			effect := twin.Reduce(now, e)
			require.Equal(t, effect, asked.Reduce(now, e))
			return effect
		}
		views := prefixViews(n)
		for i := range views {
			views[i].Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
			if rapid.IntRange(0, 5).Draw(t, "limited") == 0 {
				views[i].Limit = limiter.RequestLimit{InForce: true, PerSecond: 2, Stamp: 1}
			}
		}
		both(start, balancer.EntriesChanged{Entries: []balancer.Entry{{}}})
		both(start, balancer.UpstreamsChanged{Upstreams: views})
		now := start
		longestPause, requests := 300, rapid.IntRange(1, 40).Draw(t, "requests")
		if rapid.Bool().Draw(t, "rush") {
			longestPause, requests = 10, 5*requests
		}
		for i := range requests {
			now = now.Add(time.Duration(rapid.IntRange(0, longestPause).Draw(t, "pause")) * time.Millisecond)
			q := promptRequest(fmt.Sprint("q", i), rapid.SampledFrom([]string{"p", "r"}).Draw(t, "part"), 900)
			q.Objective = time.Duration(rapid.IntRange(60, 400).Draw(t, "objective")) * time.Millisecond
			q.Random = rapid.Uint64().Draw(t, "random")
			q.Deadline = now.Add(time.Duration(rapid.SampledFrom([]int{10, 6000}).Draw(t, "left")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "service") == 0 {
				q.Service = "unknown"
			}
			var x balancer.Explanation
			for range 3 {
				x = asked.Explain(now, q)
			}
			switch e := both(now, balancer.RequestArrived{Request: q}).(type) {
			case balancer.Send:
				require.True(t, x.Admitted)
				require.Equal(t, e.Target.Upstream, x.Choice)
				require.Equal(t, e.Forecast, x.Forecast)
				requireCandidates(t, x, e)
				admitted++
				switch rapid.IntRange(0, 3).Draw(t, "ends") {
				case 0:
					both(now, balancer.ResponseStarted{Request: q.ID, Status: 200})
					both(now, balancer.ResponseCompleted{Request: q.ID})
				case 1: // is sent again while the retry budget lasts
					both(now, balancer.AttemptFailed{Request: q.ID, Cause: balancer.ConnectionLost})
				}
			case balancer.Refuse:
				require.Equal(t, []any{false, e.Reason, e.RetryAfter, e.Forecast}, []any{x.Admitted, x.Reason, x.RetryAfter, x.Forecast})
				refused[e.Reason]++
			}
		}
	})
	require.NotZero(t, admitted)
	for _, reason := range []balancer.Reason{balancer.UnknownService, balancer.DeadlineTooNear, balancer.NoUpstream, balancer.Overloaded, balancer.Limited} {
		require.NotZero(t, refused[reason], reason)
	}
}

// requireCandidates requires that just the choice is not passed over, with the figures that
// the attempt is sent with.
func requireCandidates(t require.TestingT, x balancer.Explanation, e balancer.Send) {
	chosen := 0
	for _, c := range x.Candidates {
		if c.PassedOver != "" {
			continue
		}
		chosen++
		require.Equal(t, []any{e.Target.Upstream, e.Load, e.LoadAge, e.HeldTokens, e.Forecast},
			[]any{c.Upstream, c.Load, c.LoadAge, c.HeldTokens, c.Forecast})
	}
	require.Equal(t, 1, chosen)
}

func TestCandidatesArePassedOverForAReason(t *testing.T) {
	r := newPrefixReducer(4, 0)
	views := prefixViews(4)
	views[0].Draining = true
	views[1].Limit = limiter.RequestLimit{InForce: true, PerSecond: 1, Stamp: 1}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	r.Reduce(start, balancer.LoadObserved{Upstream: "c", Load: balancer.Load{Running: 16, Waiting: 16, Slots: 16}})
	reasons := make(map[balancer.PassReason]string)
	q := promptRequest("q", "p", 900)
	q.Deadline = start.Add(6 * time.Second)
	for _, c := range r.Explain(start, q).Candidates {
		reasons[c.PassedOver] = string(c.Upstream)
	}
	require.Equal(t, map[balancer.PassReason]string{balancer.PassedDraining: "a", balancer.PassedLimited: "b", balancer.PassedDearer: "c", "": "d"}, reasons)
}
