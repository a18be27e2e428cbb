package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// rest makes the upstream ask the entry for rest.
func rest(e *crashEntry, now time.Time, name identifier.Upstream, incarnation identifier.Incarnation, span time.Duration) {
	e.Reduce(now, balancer.RestRequested{Request: "r", Upstream: name, Incarnation: incarnation, Rest: span})
}

// isRefused reports whether the entry refuses a request since its upstreams rest. It ends
// the request otherwise.
func isRefused(t *testing.T, e *crashEntry, now time.Time) bool {
	effect := arrive(e.Reducer, now, bookingRequest("probe", true))
	if refusal, ok := effect.(balancer.Refuse); ok {
		require.Equal(t, balancer.Resting, refusal.Reason)
		return true
	}
	e.Reduce(now, balancer.ResponseCompleted{Request: effect.(balancer.Send).Request})
	return false
}

// Guards against a rest that ends too soon, whatever the entry learns meanwhile, or too late.
func TestRestHoldsUntilItsEnd(t *testing.T) {
	const (
		asked = 3 * time.Second
		// resumed is when an entry has resumed at the latest.
		resumed = time.Second / 2
	)
	for name, c := range map[string]struct {
		meanwhile func(e *crashEntry, now time.Time)
		until     time.Duration
	}{
		"nothing":            {func(*crashEntry, time.Time) {}, asked},
		"a shorter one":      {func(e *crashEntry, now time.Time) { rest(e, now, "a", 1, time.Second) }, asked},
		"a longer one":       {func(e *crashEntry, now time.Time) { rest(e, now, "a", 1, 9*time.Second) }, time.Second + 9*time.Second},
		"of another process": {func(e *crashEntry, now time.Time) { rest(e, now, "a", 2, 9*time.Second) }, asked},
		"a report":           {func(e *crashEntry, now time.Time) { e.Reduce(now, balancer.LoadObserved{Upstream: "a"}) }, asked},
		"forgotten for a while": {func(e *crashEntry, now time.Time) {
			views := e.views
			e.views = nil
			e.change(now)
			e.views = views
			e.change(now)
		}, asked},
		"it starts anew": {func(e *crashEntry, now time.Time) {
			e.views[0].Incarnation = 2
			e.change(now)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newCrashEntry("a")
			rest(e, start, "a", 1, asked)
			require.True(t, isRefused(t, e, start))
			c.meanwhile(e, start.Add(time.Second))
			for at := time.Second; at < c.until; at += 100 * time.Millisecond {
				require.True(t, isRefused(t, e, start.Add(at)), "%s", at)
			}
			require.False(t, isRefused(t, e, start.Add(max(time.Second, c.until)+resumed)))
			require.Len(t, e.TakeEjectionChanges(), 0, "it has not failed")
		})
	}
}

// Guards against an upstream that is used again after it has said that it leaves, because of
// what it or others report.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	e := newCrashEntry("a")
	e.Reduce(start, balancer.LeavingStated{Request: "r", Upstream: "a", Incarnation: 1})
	e.Reduce(start, balancer.LeavingStated{Request: "s", Upstream: "a", Incarnation: 1})
	require.Equal(t, []balancer.UpstreamNotice{{Upstream: "a", Incarnation: 1, Request: "r"}}, e.TakeNotices())
	refused := func(now time.Time) bool {
		_, ok := arrive(e.Reducer, now, bookingRequest("probe", true)).(balancer.Refuse)
		return ok
	}
	require.True(t, refused(start))
	for at := time.Second; at < time.Minute; at += time.Second {
		now := start.Add(at)
		e.Reduce(now, balancer.LoadObserved{Upstream: "a"})
		rest(e, now, "b", 1, time.Second)
		views := e.views
		e.views = nil
		e.change(now)
		e.views = views
		e.change(now)
		require.True(t, refused(now))
	}
	e.views[0].Incarnation = 2
	e.change(start.Add(time.Minute))
	require.False(t, refused(start.Add(time.Minute)))
}

// Guards against callers that are refused late or return together, where all upstreams of a
// service rest.
func TestCallersReturnAfterTheFirstRest(t *testing.T) {
	for _, c := range []struct{ first, second, earliest, latest time.Duration }{
		{time.Second, 3 * time.Second, time.Second, 2 * time.Second},
		{3 * time.Second, 3 * time.Second, 1500 * time.Millisecond, 2 * time.Second}, // a third of the time that is left
	} {
		e := newCrashEntry("a", "b")
		rest(e, start, "a", 1, c.first)
		rest(e, start, "b", 1, c.second)
		waits := make(map[time.Duration]bool)
		for i := range 100 {
			q := bookingRequest(identifier.RequestID(fmt.Sprint(i)), false)
			q.Random = uint64(i)
			refusal := arrive(e.Reducer, start, q).(balancer.Refuse)
			require.Equal(t, balancer.Resting, refusal.Reason)
			require.GreaterOrEqual(t, refusal.RetryAfter, c.earliest)
			require.LessOrEqual(t, refusal.RetryAfter, c.latest)
			waits[refusal.RetryAfter.Truncate(50*time.Millisecond)] = true
		}
		require.Greater(t, len(waits), 5)
	}
}

// Guards against attempts that were chosen before an upstream asked for rest, and are sent
// after it.
func TestAttemptIsNotSentIntoARest(t *testing.T) {
	e := newCrashEntry("a", "b")
	sent := arrive(e.Reducer, start, bookingRequest("x", false)).(balancer.Send)
	connected := balancer.AttemptConnected{Request: "x"}
	require.Equal(t, balancer.NoEffect{}, e.Reduce(start, connected))
	rest(e, start, sent.Target.Upstream, 1, time.Second)
	next := e.Reduce(start, connected).(balancer.Send)
	require.NotEqual(t, sent.Target.Upstream, next.Target.Upstream)
	e.Reduce(start, balancer.LeavingStated{Upstream: next.Target.Upstream, Incarnation: 1})
	require.Equal(t, balancer.Resting, e.Reduce(start, connected).(balancer.Refuse).Reason)
	require.Zero(t, e.InFlight())
}

// Guards against a rest of which only the attempt that was turned away knows: it goes to
// another upstream, and is refused with the end of the rest if there is none.
func TestTurnedAwayRequestGoesElsewhere(t *testing.T) {
	e := newCrashEntry("a", "b")
	sent := arrive(e.Reducer, start, bookingRequest("x", false)).(balancer.Send)
	for range 2 {
		rest(e, start, sent.Target.Upstream, 1, time.Second)
		effect := e.Reduce(start, balancer.AttemptFailed{Request: "x", Cause: balancer.NotExecuted})
		if next, ok := effect.(balancer.Send); ok {
			require.NotEqual(t, sent.Target.Upstream, next.Target.Upstream)
			sent = next
			continue
		}
		refusal := effect.(balancer.Refuse)
		require.Equal(t, balancer.Resting, refusal.Reason)
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
	}
	require.Zero(t, e.InFlight())
	require.Len(t, e.TakeNotices(), 2)
}

// Guards against a herd of all entries on an upstream whose rest, or the evacuation of whose
// zone, has ended, and against one that gets little although that has ended long ago.
func TestRestedUpstreamGetsItsShareAgain(t *testing.T) {
	const (
		perSecond = 600
		runTime   = 60 * time.Millisecond
		asked     = 2 * time.Second
	)
	names := []identifier.Upstream{"a", "b", "c"}
	for i := range 6 {
		entries, evacuated := []int{3, 14, 38}[i/2], i%2 == 1
		t.Run(fmt.Sprint(entries, evacuated), func(t *testing.T) {
			m := newCrashModel(entries, names...)
			line := newTimeline(partStep)
			for _, e := range m.entries {
				if !evacuated {
					rest(e, start, "a", 1, asked)
					continue
				}
				for i, zone := range []identifier.AvailabilityZone{"z", "y", "y"} {
					e.views[i].AvailabilityZone = zone
				}
				e.change(start)
				evacuate(e, start, "z")
				line.after(asked, func() { evacuate(e, line.now) })
			}
			sends := make(map[time.Duration]int) // to a, by tenths of a second
			running := make(map[identifier.Upstream]int)
			random := uint64(entries)
			for line.now.Sub(start) < 5*time.Second {
				for range int(perSecond * partStep / time.Second) {
					random = limiter.SplitMix64(random)
					e := m.entries[random%uint64(entries)]
					m.serial++
					q := bookingRequest(identifier.RequestID(fmt.Sprint(m.serial)), true)
					q.Random = limiter.SplitMix64(random)
					sent, ok := arrive(e.Reducer, line.now, q).(balancer.Send)
					if !ok {
						continue // two upstreams are too few for all
					}
					target := sent.Target.Upstream
					if target == "a" {
						sends[line.now.Sub(start).Truncate(100*time.Millisecond)]++
					}
					running[target]++
					line.after(runTime, func() {
						running[target]--
						e.Reduce(line.now, balancer.ResponseCompleted{Request: q.ID})
					})
				}
				for _, name := range names {
					for _, e := range m.entries {
						if line.now.UnixMilli()%100 == 0 {
							e.Reduce(line.now, balancer.LoadObserved{Upstream: name, Load: balancer.Load{Running: running[name]}})
						}
					}
				}
				line.advance()
			}
			const fair = perSecond / 3 / 10 // in a tenth of a second
			within := func(from, until time.Duration) (n int) {
				for at := from; at < until; at += 100 * time.Millisecond {
					n += sends[at]
				}
				return n
			}
			require.Zero(t, within(0, asked))
			for at := asked; at < asked+time.Second; at += 100 * time.Millisecond {
				require.LessOrEqual(t, sends[at], 2*fair, "%s after the rest", at-asked)
			}
			require.GreaterOrEqual(t, within(asked+1500*time.Millisecond, 5*time.Second), 15*fair*8/10)
		})
	}
}
