package admitter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

const (
	workOfRequest  = 500 * time.Millisecond
	headShare      = 0.3
	slotsOfServer  = 8
	serversOfBench = 4
	warmUp         = 30 * time.Second
	measured       = 60 * time.Second
	patience       = 5 * time.Second
	smallShare     = 0.2
)

// capacityOfBench is how many requests a second all servers finish at full use.
const capacityOfBench = serversOfBench * slotsOfServer * float64(time.Second) / float64(workOfRequest)

type job struct {
	left float64 // seconds of work
	done func()
}

// server runs jobs at full speed up to its slots and shares them out beyond.
type server struct {
	w       *world
	slots   float64
	jobs    []*job
	at      time.Time
	version int
}

func (s *server) speed() float64 {
	return min(1, s.slots/max(1, float64(len(s.jobs))))
}

func (s *server) advance() {
	spent := s.w.now.Sub(s.at).Seconds() * s.speed()
	s.at = s.w.now
	for _, j := range s.jobs {
		j.left -= spent
	}
}

func (s *server) add(work time.Duration, done func()) *job {
	s.advance()
	j := &job{left: work.Seconds(), done: done}
	s.jobs = append(s.jobs, j)
	s.plan()
	return j
}

func (s *server) remove(j *job) {
	s.advance()
	s.jobs = slices.DeleteFunc(s.jobs, func(other *job) bool { return other == j })
	s.plan()
}

func (s *server) plan() {
	s.version++
	if len(s.jobs) == 0 {
		return
	}
	version := s.version
	next := slices.MinFunc(s.jobs, func(a, b *job) int {
		if a.left < b.left {
			return -1
		}
		return 1
	})
	s.w.after(time.Duration(max(0, next.left)/s.speed()*float64(time.Second))+time.Microsecond, func() {
		if s.version == version {
			s.remove(next)
			next.done()
		}
	})
}

func (s *server) setSlots(slots float64) {
	s.advance()
	s.slots = slots
	s.plan()
}

// organisation returns one of two large organisations, or with the given chance
// one of eight small ones.
func (w *world) organisation(small float64) identifier.Organisation {
	if !w.chance(small) {
		return identifier.Organisation(fmt.Sprintf("large%d", w.rng.IntN(2)))
	}
	return identifier.Organisation(fmt.Sprintf("small%d", w.rng.IntN(8)))
}

// tally is what callers saw.
type tally struct {
	asked, good  int
	outcomes     map[string]int
	small        []time.Duration // of completed requests of small organisations
	smallAsked   int
	refusedAfter []time.Duration
}

func (m *tally) p95() time.Duration { return percentile(m.small, 0.95) }

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(p*float64(len(list))))]
}

// offer sends requests at the rate for the time, and counts those that arrive
// after the warm-up.
func (w *world) offer(rate, small float64, d time.Duration, m *tally, send func(org identifier.Organisation, done func(outcome router.Outcome, cause router.Cause))) {
	began, until := w.now, w.now.Add(d)
	var next func()
	next = func() {
		if !w.now.Before(until) {
			return
		}
		at, org := w.now, w.organisation(small)
		counted := at.Sub(began) >= warmUp
		isSmall := org[0] == 's'
		if counted {
			m.asked++
			if isSmall {
				m.smallAsked++
			}
		}
		send(org, func(outcome router.Outcome, cause router.Cause) {
			if counted {
				m.take(outcome, cause, w.now.Sub(at), isSmall)
			}
		})
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (m *tally) take(outcome router.Outcome, cause router.Cause, took time.Duration, isSmall bool) {
	m.outcomes[string(outcome)+" "+string(cause)]++
	switch {
	case outcome == router.Completed && took <= patience:
		m.good++
		if isSmall {
			m.small = append(m.small, took)
		}
	case outcome == router.NotRun:
		m.refusedAfter = append(m.refusedAfter, took)
	}
}

func newTally() *tally { return &tally{outcomes: make(map[string]int)} }

// newBenchWorld returns a world with three entries whose upstreams are servers.
func newBenchWorld(t require.TestingT) *world {
	w := newWorld(t, 7, 3, serversOfBench)
	for _, a := range w.agents {
		a.server = &server{w: w, slots: slotsOfServer, at: w.now}
		a.concurrency = 0
		a.start()
	}
	w.spread()
	w.run(2 * time.Second)
	return w
}

// sendOurs sends one idempotent request through a random entry.
func (w *world) sendOurs(org identifier.Organisation, done func(router.Outcome, router.Cause)) {
	id := identifier.RequestID(fmt.Sprintf("r%d", len(w.requests)))
	arrival := router.RequestArrived{
		ID: id, Organisation: org, Service: "drafting", Class: router.Idempotent,
		Deadline: w.now.Add(patience),
	}
	w.send(w.entries[w.rng.IntN(len(w.entries))], arrival, func(a router.Answer) { done(a.Outcome, a.Cause) })
}

// baseline is round robin without limits, with three tries a request.
type baseline struct {
	w    *world
	next int
	sent int
	dead map[*server]bool
}

func (b *baseline) send(_ identifier.Organisation, done func(router.Outcome, router.Cause)) {
	b.try(3, b.w.now.Add(patience), done)
}

func (b *baseline) try(left int, deadline time.Time, done func(router.Outcome, router.Cause)) {
	w := b.w
	s := w.agents[b.next%len(w.agents)].server
	b.next++
	b.sent++
	over := false
	fail := func() {
		over = true
		if left > 1 && w.now.Before(deadline) {
			b.try(left-1, deadline, done)
			return
		}
		done(router.Unknown, router.DeadlineExceeded)
	}
	if b.dead[s] {
		w.after(time.Millisecond, fail)
		return
	}
	j := s.add(workOfRequest, func() {
		if !over {
			over = true
			done(router.Completed, "")
		}
	})
	w.after(patience/2, func() { // the timeout of a try
		if !over {
			s.remove(j)
			fail()
		}
	})
}

// TestMeasureGoodput prints the goodput and the small organisations' p95 at
// multiples of the capacity, for this policy and the baseline.
func TestMeasureGoodput(t *testing.T) {
	goodput := make(map[float64]float64)
	for _, load := range []float64{0.5, 1, 2, 4} {
		small := smallShare / max(1, load) // only the large ones ask for more than the capacity
		ours, base := newTally(), newTally()
		w := newBenchWorld(t)
		w.offer(load*capacityOfBench, small, warmUp+measured, ours, w.sendOurs)
		w.run(warmUp + measured + 10*time.Second)
		b := &baseline{w: newBenchWorld(t)}
		b.w.offer(load*capacityOfBench, small, warmUp+measured, base, b.send)
		b.w.run(warmUp + measured + 10*time.Second)
		goodput[load] = float64(ours.good) / measured.Seconds()
		t.Logf("load %.1f: goodput %.1f/s, small p95 %v, small served %.3f, refusals p95 after %v; baseline %.1f/s, p95 %v, small served %.3f",
			load, goodput[load], ours.p95().Round(time.Millisecond), float64(len(ours.small))/float64(ours.smallAsked),
			percentile(ours.refusedAfter, 0.95).Round(time.Millisecond), float64(base.good)/measured.Seconds(),
			base.p95().Round(time.Millisecond), float64(len(base.small))/float64(base.smallAsked))
		t.Logf("    %v", ours.outcomes)
	}
	require.GreaterOrEqual(t, goodput[4], 0.95*goodput[1])
}

// TestMeasureHalfDies prints the sends per request when half the upstreams die.
func TestMeasureHalfDies(t *testing.T) {
	w := newBenchWorld(t)
	ours, before := newTally(), 0
	w.offer(0.4*capacityOfBench, smallShare, warmUp+measured, ours, w.sendOurs)
	w.after(warmUp, func() { before = w.attempts })
	w.after(warmUp+10*time.Second, func() {
		for _, a := range w.agents[:serversOfBench/2] {
			a.die(5 * time.Second)
		}
	})
	w.run(warmUp + measured + 10*time.Second)
	sends := float64(w.attempts-before) / float64(ours.asked)
	b := &baseline{w: newBenchWorld(t), dead: make(map[*server]bool)}
	base, beforeBase := newTally(), 0
	b.w.offer(0.4*capacityOfBench, smallShare, warmUp+measured, base, b.send)
	b.w.after(warmUp, func() { beforeBase = b.sent })
	b.w.after(warmUp+10*time.Second, func() {
		for _, a := range b.w.agents[:serversOfBench/2] {
			b.dead[a.server] = true
		}
	})
	b.w.run(warmUp + measured + 10*time.Second)
	t.Logf("sends per request %.3f, completed in time %.4f, %v; baseline %.3f, %.4f", sends,
		float64(ours.good)/float64(ours.asked), ours.outcomes,
		float64(b.sent-beforeBase)/float64(base.asked), float64(base.good)/float64(base.asked))
	require.LessOrEqual(t, sends, 1.1)
}

// TestMeasureStopping prints when work stopped going to an upstream that died,
// became slow, or is leaving.
func TestMeasureStopping(t *testing.T) {
	for name, change := range map[string]func(w *world, a *agent){
		"dead":    func(_ *world, a *agent) { a.die(time.Hour) },
		"slow":    func(_ *world, a *agent) { a.server.setSlots(slotsOfServer / 10.0) },
		"leaving": func(_ *world, a *agent) { a.leave() },
	} {
		w := newBenchWorld(t)
		a := w.agents[0]
		w.offer(0.5*capacityOfBench, smallShare, warmUp+measured, newTally(), w.sendOurs)
		w.run(warmUp)
		w.watched, w.chosen = a.name, nil
		change(w, a)
		w.run(measured)
		var last time.Duration
		late := 0
		for _, at := range w.chosen {
			last = at.Sub(epoch) - warmUp - 2*time.Second
			if last > 2*time.Second {
				late++
			}
		}
		t.Logf("%s: %d sends to it after the change, the last after %v; %d of them later than 2s, of %d sends in %v", name,
			len(w.chosen), last.Round(time.Millisecond), late, w.attempts, measured)
	}
}

// TestMeasureHalvedCapacity prints the goodput before and after every server
// loses half of its slots, at twice the former capacity.
func TestMeasureHalvedCapacity(t *testing.T) {
	w := newBenchWorld(t)
	first, second := newTally(), newTally()
	w.offer(2*capacityOfBench, smallShare, warmUp+measured, first, w.sendOurs)
	w.run(warmUp + measured)
	for _, a := range w.agents {
		a.server.setSlots(slotsOfServer / 2)
	}
	w.offer(2*capacityOfBench, smallShare, warmUp+measured, second, w.sendOurs)
	w.run(warmUp + measured + 10*time.Second)
	t.Logf("goodput %.1f/s of %.1f/s, after halving %.1f/s of %.1f/s", float64(first.good)/measured.Seconds(), capacityOfBench,
		float64(second.good)/measured.Seconds(), capacityOfBench/2)
}
