package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// newZonedEntry returns an entry with upstreams a and b in zone z1 and c in zone z2.
func newZonedEntry(t *testing.T) *crashEntry {
	e := newCrashEntry("a", "b", "c")
	for i, zone := range []identifier.AvailabilityZone{"z1", "z1", "z2"} {
		e.views[i].AvailabilityZone = zone
	}
	e.change(start)
	t.Cleanup(func() { require.Zero(t, e.InFlight()) })
	return e
}

func evacuate(e *crashEntry, now time.Time, zones ...identifier.AvailabilityZone) {
	e.Reduce(now, balancer.EvacuationsChanged{Evacuated: zones})
}

// sendTo sends requests until one goes to the upstream, and ends the others.
func sendTo(t *testing.T, e *crashEntry, now time.Time, name identifier.Upstream) balancer.Send {
	for i := range 100 {
		q := bookingRequest(identifier.RequestID(fmt.Sprint("r-", i)), true)
		q.Random = uint64(i)
		sent := arrive(e.Reducer, now, q).(balancer.Send)
		if sent.Target.Upstream == name {
			return sent
		}
		e.Reduce(now, balancer.ResponseCompleted{Request: sent.Request})
	}
	require.Fail(t, "no request goes to the upstream")
	return balancer.Send{}
}

// Guards against requests that reach an evacuated zone: each kind of attempt that begins after
// the order goes to the one upstream elsewhere, and what runs in the zone ends there.
func TestNothingIsSentIntoAnEvacuatedZone(t *testing.T) {
	failed := func(cause balancer.Cause, partlySent bool) func(*crashEntry, identifier.RequestID) balancer.Effect {
		return func(e *crashEntry, id identifier.RequestID) balancer.Effect {
			return e.Reduce(start, balancer.AttemptFailed{Request: id, Cause: cause, PartlySent: partlySent, Resumable: partlySent})
		}
	}
	for name, next := range map[string]func(*crashEntry, identifier.RequestID) balancer.Effect{
		"still dialling": func(e *crashEntry, id identifier.RequestID) balancer.Effect {
			return e.Reduce(start, balancer.AttemptConnected{Request: id})
		},
		"not connected":  failed(balancer.NotConnected, false),
		"turned away":    failed(balancer.NotExecuted, false),
		"lost":           failed(balancer.ConnectionLost, false),
		"stream resumed": failed(balancer.ConnectionLost, true),
		"first attempt": func(e *crashEntry, id identifier.RequestID) balancer.Effect {
			require.Equal(t, balancer.NoEffect{}, e.Reduce(start, balancer.ResponseCompleted{Request: id}))
			return arrive(e.Reducer, start, bookingRequest("n", true))
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newZonedEntry(t)
			id := sendTo(t, e, start, "a").Request
			evacuate(e, start, "z1")
			sent := next(e, id).(balancer.Send)
			require.Equal(t, upstreamName("c"), sent.Target.Upstream)
			e.Reduce(start, balancer.ResponseCompleted{Request: sent.Request})
		})
	}
	t.Run("after an ejection", func(t *testing.T) {
		e := newZonedEntry(t)
		id := sendTo(t, e, start, "a").Request
		e.Reduce(start, balancer.AttemptFailed{Request: id, Cause: balancer.NotConnected})
		require.Len(t, e.TakeEjectionChanges(), 1)
		e.Reduce(start, balancer.CallerGone{Request: id})
		evacuate(e, start, "z1")
		for i := range 100 { // past each time at which the upstream is tried again
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			sent := arrive(e.Reducer, now, bookingRequest("n", true)).(balancer.Send)
			require.Equal(t, upstreamName("c"), sent.Target.Upstream)
			e.Reduce(now, balancer.ResponseCompleted{Request: "n"})
		}
	})
}

// Guards against requests that wait, or are told a wrong reason, while all their upstreams are
// in evacuated zones, and against a zone that does not come back.
func TestRequestsWithoutAnotherZoneAreRefused(t *testing.T) {
	e := newZonedEntry(t)
	evacuate(e, start, "z1", "z2")
	refusal := arrive(e.Reducer, start, bookingRequest("x", false)).(balancer.Refuse)
	require.Equal(t, balancer.Evacuated, refusal.Reason)
	require.GreaterOrEqual(t, refusal.RetryAfter, 1500*time.Millisecond) // up to a third of the time that is left
	require.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	e.views[2].Draining = true
	e.change(start)
	evacuate(e, start, "z1")
	require.Equal(t, balancer.Evacuated, arrive(e.Reducer, start, bookingRequest("x", false)).(balancer.Refuse).Reason, "one that ends is none")
	evacuate(e, start)
	later := start.Add(time.Second)
	require.IsType(t, balancer.Send{}, arrive(e.Reducer, later, bookingRequest("y", false)))
	e.Reduce(later, balancer.ResponseCompleted{Request: "y"})
}

// Guards against a flood of upstreams that became cold while their zone was evacuated, before
// they have told so.
func TestReturnedUpstreamsCountAsCold(t *testing.T) {
	const assumed = 5 * time.Second
	e := newZonedEntry(t)
	e.views[1].ColdUntil = start.Add(time.Minute)
	e.change(start)
	evacuate(e, start, "z1")
	returned := start.Add(time.Second)
	evacuate(e, returned)
	// Each entry resumes up to 250 ms later.
	now := returned.Add(1500 * time.Millisecond)
	for _, c := range []struct {
		upstream identifier.Upstream
		cold     time.Time
	}{{"a", returned.Add(assumed)}, {"b", start.Add(time.Minute)}, {"c", time.Time{}}} {
		e.change(now) // as reports that say nothing of it do
		sent := sendTo(t, e, now, c.upstream)
		require.WithinRange(t, sent.Target.ColdUntil, c.cold, c.cold.Add(250*time.Millisecond), c.upstream)
		e.Reduce(now, balancer.ResponseCompleted{Request: sent.Request})
	}
}
