package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
)

// silentFor is longer than the time to the first byte after which another upstream is tried.
const silentFor = 2 * time.Second

// stalledRequest returns a reducer with a request whose first upstream is silent while a second
// one has the request too.
func stalledRequest(t *testing.T, maximumAttempts int) (r *balancer.Reducer, first, second balancer.Send) {
	r = balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("a", "drafting"), upstream("b", "drafting"), upstream("c", "drafting")}})
	q := generationRequest("x")
	q.MaximumAttempts = maximumAttempts
	q.Fingerprint = 7
	first = arrive(r, start, q).(balancer.Send)
	require.NotZero(t, first.FirstByteTimeout)
	second = r.Reduce(start.Add(silentFor), balancer.AttemptStalled{Request: "x", Attempt: first.Attempt}).(balancer.Send)
	require.NotEqual(t, first.Target.Upstream, second.Target.Upstream)
	require.NotEqual(t, first.Attempt, second.Attempt)
	return r, first, second
}

// loadOf returns how many requests the reducer counts at the upstream of a new request, which goes
// there as the others aren't known any more.
func loadOf(t *testing.T, r *balancer.Reducer, now time.Time, at balancer.UpstreamView) int {
	r.Reduce(now, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{at}})
	sent, ok := arrive(r, now, generationRequest("y")).(balancer.Send)
	require.True(t, ok)
	r.Reduce(now, balancer.CallerGone{Request: "y"})
	return sent.Load
}

// Guards against a request that ends with an error while a silent upstream may still answer it.
func TestRequestIsOverOnlyWithItsLastAttempt(t *testing.T) {
	later := start.Add(silentFor + time.Second)
	for name, test := range map[string]struct {
		events []func(first, second int) balancer.Event
		want   []balancer.Effect
	}{
		"the second breaks, the first answers": {
			[]func(first, second int) balancer.Event{
				func(_, second int) balancer.Event {
					return balancer.AttemptFailed{Request: "x", Attempt: second, Cause: balancer.ConnectionLost}
				},
				func(first, _ int) balancer.Event {
					return balancer.ResponseCompleted{Request: "x", Attempt: first}
				},
			},
			[]balancer.Effect{balancer.Await{Request: "x"}, balancer.NoEffect{}},
		},
		"the second answers with an error, the first breaks": {
			[]func(first, second int) balancer.Event{
				func(_, second int) balancer.Event {
					return balancer.ResponseCompleted{Request: "x", Attempt: second, IsError: true}
				},
				func(first, _ int) balancer.Event {
					return balancer.AttemptFailed{Request: "x", Attempt: first, Cause: balancer.ConnectionLost}
				},
			},
			[]balancer.Effect{balancer.Await{Request: "x"}, balancer.Fail{Request: "x", Reason: balancer.NoAttemptLeft}},
		},
		"the first breaks, the second answers": {
			[]func(first, second int) balancer.Event{
				func(first, _ int) balancer.Event {
					return balancer.AttemptFailed{Request: "x", Attempt: first, Cause: balancer.ConnectionLost}
				},
				func(_, second int) balancer.Event {
					return balancer.ResponseCompleted{Request: "x", Attempt: second}
				},
			},
			[]balancer.Effect{balancer.Await{Request: "x"}, balancer.NoEffect{}},
		},
		"both are silent": {
			[]func(first, second int) balancer.Event{
				func(_, second int) balancer.Event { return balancer.AttemptStalled{Request: "x", Attempt: second} },
				func(first, _ int) balancer.Event { return balancer.AttemptStalled{Request: "x", Attempt: first} },
				func(_, second int) balancer.Event {
					return balancer.AttemptFailed{Request: "x", Attempt: second, Cause: balancer.Expired}
				},
			},
			[]balancer.Effect{balancer.NoEffect{}, balancer.NoEffect{}, balancer.Fail{Request: "x", Reason: balancer.DeadlineExceeded}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, first, second := stalledRequest(t, 2)
			for i, event := range test.events {
				require.Equal(t, test.want[i], r.Reduce(later, event(first.Attempt, second.Attempt)), "event %d", i)
			}
			require.Zero(t, r.InFlight())
			require.Zero(t, loadOf(t, r, later.Add(time.Minute), first.Target), "it is counted nowhere any more")
		})
	}
}

// Guards against a silent upstream that is waited for alone, since the only other one could not be
// connected to once.
func TestUnreachedUpstreamIsTriedAgain(t *testing.T) {
	r, first, _ := stalledRequest(t, 2)
	later := start.Add(silentFor + time.Second)
	var refused []balancer.Send
	effect := r.Reduce(later, balancer.AttemptFailed{Request: "x", Cause: balancer.NotConnected})
	for send, ok := effect.(balancer.Send); ok; send, ok = effect.(balancer.Send) {
		refused = append(refused, send)
		effect = r.Reduce(later, balancer.AttemptFailed{Request: "x", Attempt: send.Attempt, Cause: balancer.NotConnected})
	}
	require.Equal(t, balancer.Await{Request: "x"}, effect, "each upstream is tried once at a time")
	require.Len(t, refused, 1)
	ejected := later.Add(time.Second)
	require.IsType(t, balancer.Send{}, r.Reduce(ejected, balancer.AttemptStalled{Request: "x", Attempt: first.Attempt}))
}

// Guards against an upstream that looks idle while it is silent, since its request is tried
// elsewhere.
func TestSilentAttemptIsCountedAtItsUpstream(t *testing.T) {
	later := start.Add(time.Minute) // an ejection is over
	for name, test := range map[string]struct {
		chosen        bool // the first upstream goes on
		first, second int
	}{
		"both are in progress": {false, 1, 1},
		"the first goes on":    {true, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			load := func(ofSecond bool) int {
				r, first, second := stalledRequest(t, 2)
				if test.chosen {
					r.Reduce(later, balancer.AttemptChosen{Request: "x", Attempt: first.Attempt})
				}
				if ofSecond {
					return loadOf(t, r, later, second.Target)
				}
				return loadOf(t, r, later, first.Target)
			}
			require.Equal(t, test.first, load(false))
			require.Equal(t, test.second, load(true))
		})
	}
}

// Guards against a sound upstream that stays ejected after it has gone on, and against its
// requests being held for what crashes upstreams.
func TestUpstreamThatGoesOnIsSound(t *testing.T) {
	r := balancer.New(balancer.Config{RetryRatio: 1, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("a", "drafting")}})
	silent := start.Add(silentFor)
	for _, id := range []string{"1", "2", "3", "4"} {
		q := generationRequest(requestID(id))
		q.Fingerprint = 7
		require.IsType(t, balancer.Send{}, arrive(r, start, q))
	}
	for _, id := range []string{"1", "2", "3"} {
		require.Equal(t, balancer.NoEffect{}, r.Reduce(silent, balancer.AttemptStalled{Request: requestID(id)}))
	}
	require.Len(t, r.TakeEjectionChanges(), 1)
	require.IsType(t, balancer.Refuse{}, arrive(r, silent, generationRequest("5")), "nothing new is sent to it")

	awake := silent.Add(100 * time.Millisecond)
	r.Reduce(awake, balancer.AttemptChosen{Request: "1"})
	require.Equal(t, []balancer.EjectionChange{{Upstream: "a"}}, r.TakeEjectionChanges())
	require.IsType(t, balancer.Send{}, arrive(r, awake, generationRequest("6")))

	restarted := upstream("a", "drafting")
	restarted.Incarnation = 2
	r.Reduce(awake, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{restarted}})
	require.Empty(t, r.TakeCrashFindings().Crashes, "a request in progress is no loss")
}

// Guards against requests that are refused as if upstreams were full, since they were silent.
func TestSilenceIsNoLoad(t *testing.T) {
	for name, policy := range map[string]balancer.ServicePolicy{
		"plain":   {Service: "drafting"},
		"engines": {Service: "drafting", Engine: engine()},
	} {
		t.Run(name, func(t *testing.T) {
			r := balancer.New(balancer.Config{RetryRatio: 1, RetryBurst: 10})
			r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{policy}})
			r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("a", "drafting")}})
			answer := func(now time.Time, id string) {
				r.Reduce(now, balancer.ResponseStarted{Request: requestID(id), Status: 200})
				r.Reduce(now, balancer.ResponseCompleted{Request: requestID(id)})
			}
			arrive(r, start, generationRequest("1"))
			answer(start.Add(100*time.Millisecond), "1")
			silentAt := start.Add(time.Second)
			before := arrive(r, silentAt, generationRequest("2")).(balancer.Send)
			for _, id := range []string{"3", "4", "5"} {
				require.IsType(t, balancer.Send{}, arrive(r, silentAt, generationRequest(requestID(id))))
			}
			r.Reduce(silentAt.Add(silentFor), balancer.AttemptStalled{Request: "2"})
			for _, id := range []string{"2", "3", "4", "5"} {
				answer(silentAt.Add(silentFor+10*time.Millisecond), id)
			}
			after, ok := arrive(r, silentAt.Add(silentFor+time.Second), generationRequest("6")).(balancer.Send)
			require.True(t, ok)
			require.InDelta(t, before.Forecast, after.Forecast, float64(10*time.Millisecond))
			require.Equal(t, before.Admission.Threshold, after.Admission.Threshold)
		})
	}
}

// Guards against an upstream that is ejected early, since an attempt was counted as failed when it
// fell silent and again when it ended.
func TestSilentAttemptFailsOnce(t *testing.T) {
	r := balancer.New(balancer.Config{RetryRatio: 1, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("a", "drafting")}})
	silent := start.Add(silentFor)
	for _, id := range []string{"1", "2"} {
		require.IsType(t, balancer.Send{}, arrive(r, start, generationRequest(requestID(id))))
	}
	for _, id := range []string{"1", "2"} {
		r.Reduce(silent, balancer.AttemptStalled{Request: requestID(id)})
		r.Reduce(silent, balancer.AttemptFailed{Request: requestID(id), Cause: balancer.ConnectionLost})
	}
	require.Empty(t, r.TakeEjectionChanges(), "two attempts have failed")
}

// Guards against a sound upstream that counts as slow since its streams paused while it was silent.
func TestSilenceIsNoSlowness(t *testing.T) {
	r := balancer.New(balancer.Config{RetryRatio: 1, RetryBurst: 10})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{upstream("a", "drafting")}})
	before := arrive(r, start, generationRequest("1")).(balancer.Send)
	r.Reduce(start, balancer.ResponseStarted{Request: "1", Status: 200})
	r.Reduce(start.Add(silentFor), balancer.AttemptStalled{Request: "1", PartlySent: true, Resumable: true})
	awake := start.Add(silentFor + time.Millisecond)
	r.Reduce(awake, balancer.AttemptChosen{Request: "1"})
	r.Reduce(awake, balancer.StreamProgressed{Request: "1", Events: 4})
	after := arrive(r, awake, generationRequest("2")).(balancer.Send)
	require.Equal(t, before.Slowness, after.Slowness)
}
