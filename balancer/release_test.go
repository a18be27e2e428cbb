package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Guards against requests that begin on an old release for too long: a release that
// is named before the previous one has taken effect must not extend the use of
// those before. (Found by a randomised search, on trouble-3 with the seed
// 915272573121: requests began on release 1, 8.8 s after release 2 was named.)
func TestEachReleaseEndsThoseBeforeIt(t *testing.T) {
	r := balancer.New(balancer.Config{ReleaseGracePeriod: 7 * time.Second})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{
		Service: "drafting",
		Engine:  engine(),
		Releases: []declarer.WantedRelease{
			{Number: 1, At: start.Add(-time.Hour)},
			{Number: 2, At: start},
			{Number: 3, At: start.Add(4 * time.Second)},
		},
	}}})
	old := upstream("old", "drafting")
	old.Release = 1
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	sent := arrive(r, start.Add(5*time.Second), generationRequest("a"))
	require.IsType(t, balancer.Send{}, sent)
	require.Zero(t, sent.(balancer.Send).ExpectedRelease)

	refused := arrive(r, start.Add(8*time.Second), generationRequest("b"))
	require.IsType(t, balancer.Refuse{}, refused, "release 2 was named more than 7 s ago and rules out release 1")

	old.Release = 2
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	sent = arrive(r, start.Add(9*time.Second), generationRequest("c"))
	require.Equal(t, declarer.ReleaseNumber(2), sent.(balancer.Send).ExpectedRelease, "release 3 was named less than 7 s ago and doesn't rule out release 2")
	require.IsType(t, balancer.Refuse{}, arrive(r, start.Add(12*time.Second), generationRequest("d")))
}

// Load: all control replicas lose power in the middle of a release, which reaches no engine, while
// callers go on as before. All their requests were refused from the end of its time on.
func TestOutageOfControlSuspendsTheTimeForARelease(t *testing.T) {
	r := balancer.New(balancer.Config{ReleaseGracePeriod: 7 * time.Second})
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{
		Service: "drafting", Engine: engine(), Releases: []declarer.WantedRelease{{Number: 1, At: at(-60)}, {Number: 2, At: at(0)}, {Number: 3, At: at(20)}},
	}}})
	old := upstream("old", "drafting")
	old.Release = 1
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	for i, step := range []struct {
		at      float64
		control balancer.ControlObserved
		release declarer.ReleaseNumber
		served  bool
	}{
		{at: 4, control: balancer.ControlObserved{Reached: true, LastReached: at(4)}, release: 1, served: true},
		{at: 8, control: balancer.ControlObserved{LastReached: at(4.5)}, release: 1, served: true},
		{at: 12, control: balancer.ControlObserved{Reached: true, LastReached: at(12), SteadySince: at(11)}, release: 1, served: true},
		{at: 17, control: balancer.ControlObserved{Reached: true, LastReached: at(17), SteadySince: at(11)}, release: 1, served: true},
		{at: 19, control: balancer.ControlObserved{Reached: true, LastReached: at(19), SteadySince: at(11)}, release: 1},
		{at: 26, control: balancer.ControlObserved{Reached: true, LastReached: at(26), SteadySince: at(25)}, release: 1},
		{at: 26, control: balancer.ControlObserved{Reached: true, LastReached: at(26), SteadySince: at(25)}, release: 2, served: true},
		{at: 33, control: balancer.ControlObserved{Reached: true, LastReached: at(33), SteadySince: at(25)}, release: 2},
	} {
		old.Release = step.release
		r.Reduce(at(step.at), balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
		r.Reduce(at(step.at), step.control)
		_, served := arrive(r, at(step.at), generationRequest(identifier.RequestID(fmt.Sprint(i)))).(balancer.Send)
		require.Equal(t, step.served, served, "step %d, %v s", i, step.at)
	}
}

// olderRelease returns a reducer with an upstream that holds release 1 while release 2, named at the
// start, is to be begun 8 s later at the latest.
func olderRelease(views ...balancer.UpstreamView) *balancer.Reducer {
	r := balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10, ReleaseGracePeriod: 7 * time.Second, ReleaseBeginPeriod: 8 * time.Second})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{
		Service: "drafting", Engine: engine(),
		Releases: []declarer.WantedRelease{{Number: 1, At: start.Add(-time.Hour)}, {Number: 2, At: start}},
	}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: append([]balancer.UpstreamView{upstream("old", "drafting")}, views...)})
	return r
}

// newer returns an upstream that holds release 2.
func newer() balancer.UpstreamView {
	v := upstream("new", "drafting")
	v.Release = 2
	return v
}

func seconds(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// Guards against requests that are sent to an older release in time and begin there after it.
func TestRequestThatHasNotBegunIsWithdrawnFromAnOlderRelease(t *testing.T) {
	for name, test := range map[string]struct {
		repeatable, sent, newer bool
		want                    balancer.Effect
	}{
		"a newer release serves":                       {true, true, true, balancer.Send{}},
		"no other one":                                 {true, true, false, balancer.Fail{}},
		"not repeatable, a newer release":              {false, true, true, balancer.Fail{}},
		"not repeatable":                               {false, true, false, balancer.Fail{}},
		"not repeatable, not sent, a newer release":    {false, false, true, balancer.Send{}},
		"not repeatable, its connection is still made": {false, false, false, balancer.Refuse{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := olderRelease()
			q := generationRequest("x")
			q.Repeatable = test.repeatable
			sent, ok := arrive(r, seconds(6.4), q).(balancer.Send)
			require.True(t, ok)
			if test.sent {
				require.Equal(t, balancer.NoEffect{}, r.Reduce(seconds(6.4), balancer.AttemptConnected{Request: "x", Attempt: sent.Attempt}))
			}
			if test.newer {
				r.Reduce(seconds(6.5), balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("old", "drafting"), newer()}})
			}
			by := sent.BeginBy
			for by.Before(seconds(8)) {
				require.True(t, by.After(seconds(6.4)))
				p, ok := r.Reduce(by, balancer.AttemptUnbegun{Request: "x", Attempt: sent.Attempt}).(balancer.Postpone)
				require.True(t, ok, "%v", by)
				require.True(t, p.BeginBy.After(by))
				by = p.BeginBy
			}
			require.Equal(t, seconds(8), by)
			effect := r.Reduce(by, balancer.AttemptUnbegun{Request: "x", Attempt: sent.Attempt})
			require.IsType(t, test.want, effect)
			if again, ok := effect.(balancer.Send); ok {
				require.Equal(t, newer(), again.Target)
			} else {
				require.Zero(t, r.InFlight())
			}
			require.Empty(t, r.TakeEjectionChanges(), "the upstream isn't at fault")
		})
	}
}

// Guards against a request that is withdrawn from an older release though it may still begin there.
func TestRequestStaysWhileItsReleaseMayBeginRequests(t *testing.T) {
	unbegun := balancer.AttemptUnbegun{Request: "x", Attempt: 1}
	lost := balancer.ControlObserved{LastReached: seconds(7.5)}
	for name, test := range map[string]struct {
		at     float64
		before func(r *balancer.Reducer)
		stays  bool
	}{
		"control is lost": {9, func(r *balancer.Reducer) { r.Reduce(seconds(7.7), lost) }, true},
		"control was lost": {16.9, func(r *balancer.Reducer) {
			r.Reduce(seconds(7.7), lost)
			r.Reduce(seconds(10), balancer.ControlObserved{Reached: true, LastReached: seconds(10), SteadySince: seconds(9)})
		}, true},
		"its time is over anew": {17, func(r *balancer.Reducer) {
			r.Reduce(seconds(7.7), lost)
			r.Reduce(seconds(10), balancer.ControlObserved{Reached: true, LastReached: seconds(10), SteadySince: seconds(9)})
		}, false},
		"the entry alone lost control": {10, func(r *balancer.Reducer) {
			r.Reduce(seconds(7.7), lost)
			r.Reduce(seconds(10), balancer.ControlObserved{Reached: true, LastReached: seconds(10)})
		}, false},
		"a steadier replica is heard later": {8.5, func(r *balancer.Reducer) {
			r.Reduce(seconds(7), balancer.ControlObserved{Reached: true, LastReached: seconds(7), SteadySince: seconds(4)})
			r.Reduce(seconds(8.5), balancer.ControlObserved{Reached: true, LastReached: seconds(8.5), SteadySince: seconds(-60)})
		}, false},
		"the upstream stops taking requests to load": {7.5, func(r *balancer.Reducer) {
			v := upstream("old", "drafting")
			v.Release = 0
			r.Reduce(seconds(7), balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{v}})
		}, true},
		"the upstream has loaded the newer release": {8, func(r *balancer.Reducer) {
			v := newer()
			v.Upstream = "old"
			r.Reduce(seconds(7.9), balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{v}})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := olderRelease()
			require.IsType(t, balancer.Send{}, arrive(r, seconds(6.4), generationRequest("x")))
			r.Reduce(seconds(6.4), balancer.AttemptConnected{Request: "x", Attempt: 1})
			test.before(r)
			effect := r.Reduce(seconds(test.at), unbegun)
			if !test.stays {
				require.IsType(t, balancer.Fail{}, effect)
				return
			}
			p, ok := effect.(balancer.Postpone)
			require.True(t, ok, "%T", effect)
			require.True(t, p.BeginBy.After(seconds(test.at)))
		})
	}
}

// Guards against a request that lies at its upstream since before a release was named and begins too late.
func TestRequestSentBeforeAReleaseWasNamedIsWithdrawn(t *testing.T) {
	r := balancer.New(balancer.Config{ReleaseGracePeriod: 7 * time.Second, ReleaseBeginPeriod: 8 * time.Second})
	policy := balancer.ServicePolicy{Service: "drafting", Engine: engine(), Releases: []declarer.WantedRelease{{Number: 1, At: start.Add(-time.Hour)}}}
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{policy}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("old", "drafting")}})
	q := generationRequest("x")
	q.Deadline = start.Add(time.Minute)
	sent, ok := r.Reduce(start, balancer.RequestArrived{Request: q}).(balancer.Send)
	require.True(t, ok)
	r.Reduce(start, balancer.AttemptConnected{Request: "x", Attempt: sent.Attempt})
	policy.Releases = append(policy.Releases, declarer.WantedRelease{Number: 2, At: seconds(0.3)})
	r.Reduce(seconds(0.4), balancer.PolicyChanged{Services: []balancer.ServicePolicy{policy}})
	for by := sent.BeginBy; ; {
		effect := r.Reduce(by, balancer.AttemptUnbegun{Request: "x", Attempt: sent.Attempt})
		if p, ok := effect.(balancer.Postpone); ok {
			by = p.BeginBy
			continue
		}
		require.IsType(t, balancer.Fail{}, effect)
		require.Equal(t, seconds(8.3), by)
		return
	}
}

// Guards against a request that is sent to a release that was ruled out while its connection was made.
func TestRequestIsNotSentToAReleaseThatWasRuledOutMeanwhile(t *testing.T) {
	r := olderRelease()
	sent, ok := arrive(r, seconds(6.9), generationRequest("x")).(balancer.Send)
	require.True(t, ok)
	require.IsType(t, balancer.Refuse{}, r.Reduce(seconds(7.1), balancer.AttemptConnected{Request: "x", Attempt: sent.Attempt}))
}

// Guards against a withdrawal that ends a request while another attempt may answer it.
func TestWithdrawalLeavesOtherAttemptsInProgress(t *testing.T) {
	r := olderRelease(newer())
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("old", "drafting")}})
	first, ok := arrive(r, seconds(6.4), generationRequest("x")).(balancer.Send)
	require.True(t, ok)
	r.Reduce(seconds(6.4), balancer.AttemptConnected{Request: "x", Attempt: first.Attempt})
	r.Reduce(seconds(6.5), balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("old", "drafting"), newer()}})
	second, ok := r.Reduce(seconds(7.7), balancer.AttemptStalled{Request: "x", Attempt: first.Attempt}).(balancer.Send)
	require.True(t, ok)
	require.Equal(t, newer(), second.Target)
	require.Equal(t, balancer.Await{Request: "x"}, r.Reduce(seconds(8), balancer.AttemptUnbegun{Request: "x", Attempt: first.Attempt}))
	require.IsType(t, balancer.Postpone{}, r.Reduce(seconds(8.2), balancer.AttemptUnbegun{Request: "x", Attempt: second.Attempt}))
	r.Reduce(seconds(8.3), balancer.ResponseCompleted{Request: "x", Attempt: second.Attempt})
	require.Zero(t, r.InFlight())
}
