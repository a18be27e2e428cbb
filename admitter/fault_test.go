package admitter_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(5000+index))
}

// fault is one drawn fault of a randomised run.
type fault struct {
	At   int // milliseconds
	Kind string
	A, B int
	For  int // milliseconds
}

var faultKinds = []string{"EntryCrash", "AgentCrash", "UpstreamCrash", "Partition", "ControlDown", "Silence", "Leave", "CallerGone"}

func drawFault(t *rapid.T) fault {
	return fault{
		At:   rapid.IntRange(0, 20_000).Draw(t, "at"),
		Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		A:    rapid.IntRange(0, 2).Draw(t, "a"),
		B:    rapid.IntRange(0, 2).Draw(t, "b"),
		For:  rapid.IntRange(100, 15_000).Draw(t, "for"),
	}
}

func (w *world) inject(f fault) {
	pause := time.Duration(f.For) * time.Millisecond
	w.after(time.Duration(f.At)*time.Millisecond, func() {
		e, a := w.entries[f.A], w.agents[f.B]
		switch f.Kind {
		case "EntryCrash":
			e.crash()
		case "AgentCrash":
			if a.alive {
				a.crash(pause)
			}
		case "UpstreamCrash":
			if a.alive {
				a.crashUpstream(pause)
			}
		case "Partition":
			link := [2]int{f.A, f.B}
			w.blocked[link] = true
			w.after(pause, func() { delete(w.blocked, link) })
		case "ControlDown":
			w.control.down = true
			w.after(pause, func() { w.control.down = false })
		case "Silence":
			for _, s := range a.streams {
				s.silent = true
			}
		case "Leave":
			if a.alive {
				a.leave()
			}
		case "CallerGone":
			for _, id := range w.requestIDs() {
				if c := w.requests[id]; c.entry == e {
					e.post(router.CallerGone{Request: id})
					return
				}
			}
		}
	})
}

func (w *world) requestIDs() []identifier.RequestID {
	var ids []identifier.RequestID
	for i := range len(w.requests) + 1 {
		id := identifier.RequestID(fmt.Sprintf("r%d", i))
		if w.requests[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// caller sends one key until it has an answer that is not NotRun or Unknown, or
// a few times, sometimes through two entries at once.
func (w *world) caller(key int, left int) {
	id := identifier.RequestID(fmt.Sprintf("r%d", len(w.requests)))
	class := router.NonIdempotent
	if key%3 == 0 {
		class = router.Idempotent
	}
	e := w.entries[w.rng.IntN(len(w.entries))]
	arrival := router.RequestArrived{
		ID: id, Organisation: "housing", Service: "drafting", Class: class,
		Key: identifier.IdempotencyKey(fmt.Sprintf("k%d", key)), Fingerprint: router.Fingerprint(key + 1),
		Deadline: w.now.Add(w.patience + w.between(1000, 20_000)),
	}
	w.send(e, arrival, func(answer router.Answer) {
		again := answer.Outcome == router.NotRun || answer.Outcome == router.Unknown
		if again && left > 0 {
			w.after(w.between(1, 3000), func() { w.caller(key, left-1) })
		}
	})
	if left > 0 && w.chance(0.2) {
		w.after(w.between(1, 2000), func() { w.caller(key, 0) })
	}
}

// checkHistory proves the outcomes against what really ran.
func (w *world) checkHistory(t require.TestingT) {
	ran := make(map[identifier.RequestID]int)
	for id, n := range w.began {
		require.Equal(t, 1, n, "attempt %s started more than once", id)
		request, _, _ := strings.Cut(string(id), "/")
		ran[identifier.RequestID(request)]++
	}
	completed := make(map[identifier.IdempotencyKey]bool)
	for id := range w.wholes {
		completed[w.starts[id].Key] = true
	}
	for id, c := range w.requests {
		if c.epoch == c.entry.epoch {
			require.Len(t, c.answers, 1, "request %s has no answer", id)
		}
		for _, answer := range c.answers {
			switch answer.Outcome {
			case router.NotRun:
				require.Zero(t, ran[id], "request %s was answered NotRun and ran", id)
			case router.Completed:
				require.True(t, completed[c.key], "request %s was answered Completed and no run of it ended", id)
			}
		}
	}
	for key, n := range w.keyRuns {
		require.Equal(t, 1, n, "key %s", key)
	}
}

func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3, 3)
		w.lossy = rapid.Float64Range(0, 0.3).Draw(t, "lossy")
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 0, 8).Draw(t, "faults") {
			w.inject(f)
		}
		for key := range rapid.IntRange(1, 40).Draw(t, "keys") {
			w.after(w.between(0, 15_000), func() { w.caller(key, 3) })
		}
		w.run(3 * time.Minute)
		w.checkHistory(t)
		for _, a := range w.agents {
			require.Equal(t, a.leaving && a.alive, a.drained, "agent %s", a.name)
		}
	})
}

func TestEveryRequestCompletesWithoutFaults(t *testing.T) {
	w := newWorld(t, 1, 3, 3)
	w.patience = time.Minute
	for key := range 100 {
		w.after(w.between(0, 60_000), func() { w.caller(key, 0) })
	}
	w.run(3 * time.Minute)
	w.checkHistory(t)
	for id, c := range w.requests {
		require.Equal(t, router.Completed, c.answers[0].Outcome, "request %s: %+v", id, c.answers[0])
	}
}
