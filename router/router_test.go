package router_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

const (
	drafting identifier.Service      = "drafting"
	housing  identifier.Organisation = "housing"
)

var (
	epoch   = time.Unix(1_000_000, 0)
	address = netip.MustParseAddrPort("127.0.0.1:4000")
)

func view(name identifier.Upstream) router.UpstreamView {
	return router.UpstreamView{Upstream: name, Incarnation: 1, Address: address, Service: drafting, Ready: true}
}

func newReducer(upstreams ...identifier.Upstream) *router.Reducer {
	r := router.New(router.Config{}, asserter.Strict{})
	r.Reduce(epoch, router.PolicyChanged{Policy: router.Policy{Services: []router.ServicePolicy{{Service: drafting}}}})
	var views []router.UpstreamView
	for _, u := range upstreams {
		views = append(views, view(u))
	}
	r.Reduce(epoch, router.UpstreamsChanged{Upstreams: views})
	return r
}

func arrival(id identifier.RequestID, class router.Class) router.RequestArrived {
	return router.RequestArrived{
		ID: id, Organisation: housing, Service: drafting, Class: class, Key: "k",
		Fingerprint: 7, Deadline: epoch.Add(time.Minute), Random: 3,
	}
}

// only returns the effect of type T, of which there must be exactly one.
func only[T router.Effect](t *testing.T, effects []router.Effect) T {
	t.Helper()
	var found []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			found = append(found, v)
		}
	}
	require.Len(t, found, 1, "%#v", effects)
	return found[0]
}

func TestIdempotentRequestRunsAndCompletes(t *testing.T) {
	r := newReducer("u1")
	start := only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	r.Reduce(epoch, router.AttemptWasAccepted{Request: "r1", Attempt: start.Attempt})
	only[router.PassOn](t, r.Reduce(epoch, router.AttemptAnswering{Request: "r1", Attempt: start.Attempt, Status: 200}))
	answer := only[router.Answer](t, r.Reduce(epoch, router.AttemptEnded{Request: "r1", Attempt: start.Attempt, Status: 200}))
	require.Equal(t, router.Completed, answer.Outcome)
	require.Zero(t, r.Pending())
}

func TestNonIdempotentRunsOnlyUnderAClaim(t *testing.T) {
	r := newReducer("u1")
	claim := only[router.Claim](t, r.Reduce(epoch, arrival("r1", router.NonIdempotent)))
	effects := r.Reduce(epoch, router.ClaimAnswered{Request: "r1", Attempt: claim.Claim.Attempt,
		Answer: router.ClaimAnswer{Status: router.Granted, Token: 5}})
	require.Equal(t, identifier.FencingToken(5), only[router.StartAttempt](t, effects).Token)
}

func TestNoQuorumIsNotRunAtOnce(t *testing.T) {
	r := newReducer("u1")
	claim := only[router.Claim](t, r.Reduce(epoch, arrival("r1", router.NonIdempotent)))
	effects := r.Reduce(epoch, router.ClaimAnswered{Request: "r1", Attempt: claim.Claim.Attempt,
		Answer: router.ClaimAnswer{Status: router.Unavailable}})
	answer := only[router.Answer](t, effects)
	require.Equal(t, router.NotRun, answer.Outcome)
	require.NotZero(t, answer.RetryAfter)
}

// handOver submits a non-idempotent request and grants its claim, which starts its
// first attempt.
func handOver(t *testing.T, r *router.Reducer, id identifier.RequestID) router.StartAttempt {
	claim := only[router.Claim](t, r.Reduce(epoch, arrival(id, router.NonIdempotent)))
	return only[router.StartAttempt](t, r.Reduce(epoch, router.ClaimAnswered{Request: id, Attempt: claim.Claim.Attempt,
		Answer: router.ClaimAnswer{Status: router.Granted, Token: 5}}))
}

func TestRefusalOfALaterIncarnationProvesNothing(t *testing.T) {
	r := newReducer("u1")
	start := handOver(t, r, "r1")
	r.Reduce(epoch, router.AttemptWasAccepted{Request: "r1", Attempt: start.Attempt})
	effects := r.Reduce(epoch, router.AttemptWasRefused{Request: "r1", Attempt: start.Attempt, Reason: router.OtherIncarnation})
	only[router.Claim](t, effects) // asks the control plane for a stored outcome
	effects = r.Reduce(epoch, router.ClaimAnswered{Request: "r1", Attempt: start.Attempt,
		Answer: router.ClaimAnswer{Status: router.Granted, Token: 5}})
	require.Equal(t, router.Unknown, only[router.Answer](t, effects).Outcome)
}

func TestConfirmedRefusalMovesTheClaimToAnotherUpstream(t *testing.T) {
	r := newReducer("u1", "u2")
	start := handOver(t, r, "r1")
	effects := r.Reduce(epoch, router.AttemptWasRefused{Request: "r1", Attempt: start.Attempt, Reason: router.Leaving})
	claim := only[router.Claim](t, effects).Claim
	require.Equal(t, start.Token, claim.Replaces)
	require.NotEqual(t, start.Target.Upstream, claim.Upstream)
	require.NotEqual(t, start.Attempt, claim.Attempt)
}

func TestResendAsksTheHolderAndReplacesAnUnseenAttempt(t *testing.T) {
	r := newReducer("u1")
	claim := only[router.Claim](t, r.Reduce(epoch, arrival("r2", router.NonIdempotent)))
	held := router.ClaimAnswer{Status: router.Held, Token: 3, Request: "r1", Attempt: "r1/1", Upstream: "u1", Incarnation: 1}
	ask := only[router.AskAttempt](t, r.Reduce(epoch, router.ClaimAnswered{Request: "r2", Attempt: claim.Claim.Attempt, Answer: held}))
	require.Equal(t, identifier.RequestID("r1"), ask.Holder)
	effects := r.Reduce(epoch, router.AttemptWasRefused{Request: "r2", Attempt: "r1/1", Reason: router.Unseen})
	require.Equal(t, identifier.FencingToken(3), only[router.Claim](t, effects).Claim.Replaces)
}

func TestLostHolderMakesTheOutcomeUnknown(t *testing.T) {
	r := newReducer("u1")
	claim := only[router.Claim](t, r.Reduce(epoch, arrival("r2", router.NonIdempotent)))
	held := router.ClaimAnswer{Status: router.Held, Token: 3, Request: "r1", Attempt: "r1/1", Upstream: "u9", Incarnation: 1}
	effects := r.Reduce(epoch, router.ClaimAnswered{Request: "r2", Attempt: claim.Claim.Attempt, Answer: held})
	require.Equal(t, router.Unknown, only[router.Answer](t, effects).Outcome)
	require.Equal(t, router.Unknown, only[router.Settle](t, effects).Settlement.Answer.Outcome)
}

func TestSilentAttemptIsAskedAfterOnAFreshConnection(t *testing.T) {
	r := newReducer("u1", "u2")
	start := only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	ask := only[router.AskAttempt](t, r.Reduce(epoch.Add(3*time.Second), router.Ticked{}))
	require.True(t, ask.Fresh)
	require.Equal(t, start.Attempt, ask.Attempt)
}

func TestRetryGoesToAnotherUpstreamWithinTheBudget(t *testing.T) {
	r := newReducer("u1", "u2")
	sends := 0
	for i := range 200 {
		id := identifier.RequestID(fmt.Sprintf("r%d", i))
		now := epoch.Add(time.Duration(i) * time.Second / 10)
		e := arrival(id, router.Idempotent)
		e.Random = uint64(i)
		e.Deadline = now.Add(time.Minute)
		effects := r.Reduce(now, e)
		for answered := false; !answered; sends++ {
			start := only[router.StartAttempt](t, effects)
			effects = r.Reduce(now, router.AttemptBroke{Request: id, Attempt: start.Attempt, Kind: router.Gone, Reason: router.UpstreamBroke})
			answered = r.Pending() == 0
		}
		require.Equal(t, router.Unknown, only[router.Answer](t, effects).Outcome)
	}
	require.LessOrEqual(t, sends, 200+200/10+10)
}

func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	r := newReducer("u1", "u2")
	leaving := view("u1")
	leaving.Leaving = true
	r.Reduce(epoch, router.UpstreamsChanged{Upstreams: []router.UpstreamView{leaving, view("u2")}})
	for i := range 8 {
		e := arrival(identifier.RequestID(fmt.Sprintf("r%d", i)), router.Idempotent)
		e.Random = uint64(i)
		require.Equal(t, identifier.Upstream("u2"), only[router.StartAttempt](t, r.Reduce(epoch, e)).Target.Upstream)
	}
}

func TestLateAndCrossedMessagesChangeNothing(t *testing.T) {
	r := newReducer("u1", "u2")
	first := only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	effects := r.Reduce(epoch, router.AttemptBroke{Request: "r1", Attempt: first.Attempt, Kind: router.Gone, Reason: router.TimedOut})
	second := only[router.StartAttempt](t, effects)
	require.Empty(t, r.Reduce(epoch, router.AttemptAnswering{Request: "r1", Attempt: first.Attempt, Status: 200}))
	require.Empty(t, r.Reduce(epoch, router.AttemptEnded{Request: "r1", Attempt: first.Attempt, Status: 200}))
	require.Empty(t, r.Reduce(epoch, router.AttemptEnded{Request: "r2", Attempt: second.Attempt, Status: 200}))
	require.Equal(t, 1, r.Pending())
}

func TestSuspectSparesTheLastUpstream(t *testing.T) {
	r := newReducer("u1", "u2")
	start := only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	effects := r.Reduce(epoch, router.AttemptBroke{Request: "r1", Attempt: start.Attempt, Kind: router.Gone, Reason: router.UpstreamCrashed})
	require.Empty(t, effects, "only one upstream is left, so the suspect waits")
	views := []router.UpstreamView{view("u1"), view("u2")}
	views[0].Incarnation, views[1].Incarnation = 2, 2
	alone := only[router.StartAttempt](t, r.Reduce(epoch, router.UpstreamsChanged{Upstreams: views}))
	require.True(t, alone.Alone)
	effects = r.Reduce(epoch, router.AttemptBroke{Request: "r1", Attempt: alone.Attempt, Kind: router.Gone, Reason: router.UpstreamCrashed})
	require.Equal(t, router.Quarantined, only[router.Answer](t, effects).Cause)
	refused := only[router.Answer](t, r.Reduce(epoch, arrival("r2", router.Idempotent)))
	require.Equal(t, router.NotRun, refused.Outcome)
	require.Equal(t, router.Quarantined, refused.Cause)
}

func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	r := newReducer("u1", "u2")
	send := func(i int) router.StartAttempt {
		e := arrival(identifier.RequestID(fmt.Sprintf("r%d", i)), router.Idempotent)
		e.Random, e.Prefixes = uint64(i), []router.PrefixHash{1, 2}
		return only[router.StartAttempt](t, r.Reduce(epoch, e))
	}
	first := send(0)
	r.Reduce(epoch, router.AttemptEnded{Request: "r0", Attempt: first.Attempt, Status: 200})
	counts := make(map[identifier.Upstream]int)
	for i := range 8 {
		counts[send(i+1).Target.Upstream]++
	}
	require.Len(t, counts, 2, "the upstream that holds the prefix must not get every request")
	require.GreaterOrEqual(t, counts[first.Target.Upstream], 4)
}

func TestPolicyFollowsWhatUpstreamsHold(t *testing.T) {
	r := newReducer("u1")
	policy := router.Policy{Services: []router.ServicePolicy{{Service: drafting, Model: "m"}}}
	r.Reduce(epoch, router.PolicyChanged{Policy: policy})
	require.Empty(t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	answer := only[router.Answer](t, r.Reduce(epoch.Add(3*time.Second), router.Ticked{}))
	require.Equal(t, router.NoUpstream, answer.Cause)
	require.Equal(t, router.NotRun, answer.Outcome)
}

func TestFormerVersionServesUntilTheNewOneIsLoaded(t *testing.T) {
	r := newReducer("u1", "u2")
	policy := router.Policy{Services: []router.ServicePolicy{{Service: drafting, Version: "2"}}}
	r.Reduce(epoch, router.PolicyChanged{Policy: policy})
	only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	loaded := view("u2")
	loaded.Version = "2"
	r.Reduce(epoch, router.UpstreamsChanged{Upstreams: []router.UpstreamView{view("u1"), loaded}})
	for i := range 8 {
		e := arrival(identifier.RequestID(fmt.Sprintf("s%d", i)), router.Idempotent)
		e.Random = uint64(i)
		require.Equal(t, identifier.Upstream("u2"), only[router.StartAttempt](t, r.Reduce(epoch, e)).Target.Upstream)
	}
}

func TestPrefixIsForgottenOnceTheCacheIsTurnedOver(t *testing.T) {
	// follows reports whether a second request with the prefix goes to the upstream
	// that ran the first one, if last is that engine's latest cache report.
	follows := func(random uint64, last router.CacheReport) bool {
		r := newReducer("u1", "u2")
		send := func(id identifier.RequestID, prefix router.PrefixHash) router.StartAttempt {
			random++
			e := arrival(id, router.Idempotent)
			e.Random, e.Prefixes = random, []router.PrefixHash{prefix}
			return only[router.StartAttempt](t, r.Reduce(epoch, e))
		}
		first := send("r1", 1)
		r.Reduce(epoch, router.AttemptEnded{Request: "r1", Attempt: first.Attempt, Status: 200,
			Cache: router.CacheReport{Sequence: 100, Held: 10}})
		other := router.UpstreamsChanged{Upstreams: []router.UpstreamView{view(first.Target.Upstream)}}
		r.Reduce(epoch, other)
		second := send("r2", 2)
		r.Reduce(epoch, router.AttemptEnded{Request: "r2", Attempt: second.Attempt, Status: 200, Cache: last})
		r.Reduce(epoch, router.UpstreamsChanged{Upstreams: []router.UpstreamView{view("u1"), view("u2")}})
		return send("r3", 1).Target.Upstream == first.Target.Upstream
	}
	elsewhere := 0
	for random := range uint64(16) {
		require.True(t, follows(random, router.CacheReport{Sequence: 110, Held: 10}))
		if !follows(random, router.CacheReport{Sequence: 120, Held: 10}) {
			elsewhere++
		}
	}
	require.NotZero(t, elsewhere)
}

func TestHungUpstreamIsLeftForAnother(t *testing.T) {
	r := newReducer("u1", "u2")
	first := only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	now := epoch.Add(100 * time.Millisecond)
	r.Reduce(now, router.AttemptAnswering{Request: "r1", Attempt: first.Attempt, Status: 200})
	r.Reduce(now, router.AttemptEnded{Request: "r1", Attempt: first.Attempt, Status: 200})
	hung := only[router.StartAttempt](t, r.Reduce(now, arrival("r2", router.Idempotent)))
	for range 29 {
		now = now.Add(500 * time.Millisecond)
		r.Reduce(now, router.AttemptProgressed{Request: "r2", Attempt: hung.Attempt})
		require.Empty(t, r.Reduce(now, router.Ticked{}))
	}
	effects := r.Reduce(now.Add(500*time.Millisecond), router.Ticked{})
	require.True(t, only[router.CancelAttempt](t, effects).Stop)
	require.NotEqual(t, hung.Target.Upstream, only[router.StartAttempt](t, effects).Target.Upstream)
}

// Guards against requests that get no answer when the time to drain has passed, and against a false
// promise that they have not run.
func TestEndOfDrainAnswersEveryRequest(t *testing.T) {
	r := newReducer("u1")
	running := handOver(t, r, "running")
	verified := handOver(t, r, "verified")
	r.Reduce(epoch, router.AttemptBroke{Request: "verified", Attempt: verified.Attempt, Kind: router.Gone, Reason: router.UpstreamBroke})
	r.Reduce(epoch, arrival("claimed", router.NonIdempotent))
	r.Reduce(epoch, router.UpstreamsChanged{})
	r.Reduce(epoch, arrival("queued", router.Idempotent))
	r.Reduce(epoch, router.Draining{})
	effects := r.Reduce(epoch, router.DrainEnded{})
	require.Equal(t, running.Attempt, only[router.CancelAttempt](t, effects).Attempt)
	only[router.Drained](t, effects)
	outcomes := make(map[identifier.RequestID]router.Outcome)
	for _, e := range effects {
		if answer, ok := e.(router.Answer); ok {
			outcomes[answer.Request] = answer.Outcome
		}
	}
	require.Equal(t, map[identifier.RequestID]router.Outcome{
		"running": router.Unknown, "verified": router.Unknown, "claimed": router.NotRun, "queued": router.NotRun,
	}, outcomes)
	require.Zero(t, r.Pending())
}

// Guards against a request whose answer is given up because its upstream is slow, though no other
// one has room for it: it would wait, and end without an answer that was on its way.
func TestSlowUpstreamIsKeptWhileNoOtherHasRoom(t *testing.T) {
	r := newReducer("u1", "u2")
	const progressTimeout = 10 * time.Second
	r.Reduce(epoch, router.PolicyChanged{Policy: router.Policy{Services: []router.ServicePolicy{{Service: drafting, ProgressTimeout: progressTimeout}}}})
	full := router.LoadReport{Limit: 1, Running: 1}
	attempts := make(map[identifier.RequestID]identifier.AttemptID)
	for _, id := range []identifier.RequestID{"r1", "r2"} {
		attempts[id] = only[router.StartAttempt](t, r.Reduce(epoch, arrival(id, router.Idempotent))).Attempt
		r.Reduce(epoch, router.AttemptWasAccepted{Request: id, Attempt: attempts[id], Load: full})
	}
	for now := epoch; now.Before(epoch.Add(2 * progressTimeout)); now = now.Add(time.Second) {
		for id, attempt := range attempts {
			r.Reduce(now, router.AttemptProgressed{Request: id, Attempt: attempt, Load: &full})
		}
		require.Empty(t, r.Reduce(now, router.Ticked{}), "both are silent, and full")
	}
	now := epoch.Add(2 * progressTimeout)
	for id, attempt := range attempts {
		only[router.PassOn](t, r.Reduce(now, router.AttemptAnswering{Request: id, Attempt: attempt, Status: 200}))
	}
}
