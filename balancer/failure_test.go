package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// plain is a reducer before upstreams of a service without engines.
func plain(names ...identifier.Upstream) *balancer.Reducer {
	r := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
	var views []balancer.UpstreamView
	for _, name := range names {
		views = append(views, upstream(name, "booking"))
	}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	return r
}

func booking(id identifier.RequestID, repeatable bool) balancer.Request {
	return balancer.Request{ID: id, Service: "booking", Repeatable: repeatable, MaximumAttempts: 2, Objective: time.Second}
}

// A caller's time that ends says nothing of the upstream.
func TestEndOfTimeBlamesNoUpstream(t *testing.T) {
	r := plain("a")
	for range 10 {
		sent := arrive(r, start, booking("x", true)).(balancer.Send)
		fail := r.Reduce(start, balancer.Broke{Request: sent.Request, Cause: balancer.Expired})
		require.Equal(t, balancer.Fail{Request: "x", Reason: balancer.TimeEnded}, fail)
	}
	require.IsType(t, balancer.Send{}, arrive(r, start, booking("y", true)))
}

func TestFailingUpstreamIsSetAsideAndTriedAgain(t *testing.T) {
	r := plain("a")
	for range 3 {
		sent := arrive(r, start, booking("x", false)).(balancer.Send)
		r.Reduce(start, balancer.Broke{Request: sent.Request, Cause: balancer.Lost})
	}
	require.IsType(t, balancer.Refuse{}, arrive(r, start, booking("y", false)))
	later := start.Add(time.Second)
	probe := arrive(r, later, booking("p", false))
	require.IsType(t, balancer.Send{}, probe)
	require.IsType(t, balancer.Refuse{}, arrive(r, later, booking("q", false)), "one at a time")
	r.Reduce(later, balancer.Answering{Request: "p", Status: 200})
	r.Reduce(later, balancer.Ended{Request: "p"})
	require.IsType(t, balancer.Send{}, arrive(r, later, booking("q", false)))
}

func TestRetryBudgetBoundsRepeats(t *testing.T) {
	r := plain("a", "b")
	again := 0
	for i := range 200 {
		id := identifier.RequestID(rune('0' + i))
		sent, ok := arrive(r, start.Add(time.Duration(i)*20*time.Second), booking(id, true)).(balancer.Send)
		if !ok {
			continue
		}
		now := start.Add(time.Duration(i) * 20 * time.Second)
		if _, ok := r.Reduce(now, balancer.Broke{Request: sent.Request, Cause: balancer.Lost}).(balancer.Send); ok {
			again++
			r.Reduce(now, balancer.Broke{Request: sent.Request, Cause: balancer.Lost})
		}
	}
	require.LessOrEqual(t, again, 10+200/5)
	require.Greater(t, again, 10)
}

// Whatever becomes of attempts: a request that may not be repeated is sent on only
// while no attempt may have run, Refuse is answered only where none may have, no
// upstream gets a request twice, and every request ends.
func TestRefusedIsTrueUnderFaults(t *testing.T) {
	causes := []balancer.Cause{
		balancer.NotConnected, balancer.NotExecuted, balancer.Mistaken, balancer.Lost, balancer.Silent, balancer.Garbled, balancer.Expired,
	}
	rapid.Check(t, func(t *rapid.T) {
		r := plain("a", "b", "c")
		now := start
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			repeatable := rapid.Bool().Draw(t, "repeatable")
			id := identifier.RequestID(rune('A' + i))
			mayHaveRun := false
			tried := make(map[identifier.Upstream]int)
			effect := arrive(r, now, booking(id, repeatable))
			for steps := 0; ; steps++ {
				require.Less(t, steps, 20)
				sent, ok := effect.(balancer.Send)
				if !ok {
					break
				}
				require.True(t, repeatable || !mayHaveRun, "it may have run already")
				cause := rapid.SampledFrom(append(causes, "")).Draw(t, "cause")
				if cause != balancer.NotConnected {
					tried[sent.Target.Upstream]++
					require.Equal(t, 1, tried[sent.Target.Upstream])
				}
				if cause == "" {
					r.Reduce(now, balancer.Answering{Request: id, Status: 200})
					effect = r.Reduce(now, balancer.Ended{Request: id})
					require.IsType(t, balancer.Go{}, effect)
					break
				}
				switch cause {
				case balancer.NotConnected, balancer.NotExecuted, balancer.Mistaken:
				default:
					mayHaveRun = true
				}
				effect = r.Reduce(now, balancer.Broke{Request: id, Cause: cause})
			}
			if _, refused := effect.(balancer.Refuse); refused {
				require.False(t, mayHaveRun, "a refusal says that it has not run")
			}
			require.LessOrEqual(t, len(tried), 2)
		}
		require.Zero(t, r.InFlight())
	})
}
