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
	requestWork    = 500 * time.Millisecond
	firstByteShare = 0.3
	serverSlots    = 8
	serverCount    = 4
	warmUp         = 30 * time.Second
	measuredTime   = 60 * time.Second
	requestTimeout = 5 * time.Second
	smallOrgShare  = 0.2
)

// totalCapacity is the number of requests per second that all servers together
// complete at full load.
const totalCapacity = serverCount * serverSlots * float64(time.Second) / float64(requestWork)

type job struct {
	remaining float64 // seconds of work
	done      func()
}

// server models an upstream by processor sharing: up to slots jobs run at full speed,
// and more jobs share the slots equally.
type server struct {
	sim       *simulation
	slots     float64
	jobs      []*job
	updatedAt time.Time
	revision  int
}

func (s *server) speed() float64 {
	return min(1, s.slots/max(1, float64(len(s.jobs))))
}

// advance accounts for the work that was done since the last call.
func (s *server) advance() {
	spent := s.sim.now.Sub(s.updatedAt).Seconds() * s.speed()
	s.updatedAt = s.sim.now
	for _, j := range s.jobs {
		j.remaining -= spent
	}
}

func (s *server) add(work time.Duration, done func()) *job {
	s.advance()
	j := &job{remaining: work.Seconds(), done: done}
	s.jobs = append(s.jobs, j)
	s.scheduleNext()
	return j
}

func (s *server) remove(j *job) {
	s.advance()
	s.jobs = slices.DeleteFunc(s.jobs, func(other *job) bool { return other == j })
	s.scheduleNext()
}

func (s *server) scheduleNext() {
	s.revision++
	if len(s.jobs) == 0 {
		return
	}
	revision := s.revision
	next := slices.MinFunc(s.jobs, func(a, b *job) int {
		if a.remaining < b.remaining {
			return -1
		}
		return 1
	})
	s.sim.after(time.Duration(max(0, next.remaining)/s.speed()*float64(time.Second))+time.Microsecond, func() {
		if s.revision == revision {
			s.remove(next)
			next.done()
		}
	})
}

func (s *server) setSlots(slots float64) {
	s.advance()
	s.slots = slots
	s.scheduleNext()
}

// organisation returns one of eight small organisations with the given probability,
// and otherwise one of two large ones.
func (sim *simulation) organisation(smallShare float64) identifier.Organisation {
	if !sim.chance(smallShare) {
		return identifier.Organisation(fmt.Sprintf("large%d", sim.rng.IntN(2)))
	}
	return identifier.Organisation(fmt.Sprintf("small%d", sim.rng.IntN(8)))
}

// stats counts the outcomes that callers received.
type stats struct {
	requests, inTime  int
	outcomes          map[string]int
	smallOrgLatencies []time.Duration // of completed requests of small organisations
	smallOrgRequests  int
	refusalLatencies  []time.Duration
}

func (m *stats) smallOrgP95() time.Duration { return percentile(m.smallOrgLatencies, 0.95) }

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(p*float64(len(list))))]
}

// generateLoad sends requests at the rate per second for the duration d, as a Poisson
// process, and counts those that are sent after the warm-up. smallShare is the share of
// requests from small organisations.
func (sim *simulation) generateLoad(rate, smallShare float64, d time.Duration, m *stats, send func(org identifier.Organisation, done func(outcome router.Outcome, cause router.Cause))) {
	began, until := sim.now, sim.now.Add(d)
	var next func()
	next = func() {
		if !sim.now.Before(until) {
			return
		}
		at, org := sim.now, sim.organisation(smallShare)
		counted := at.Sub(began) >= warmUp
		isSmall := org[0] == 's'
		if counted {
			m.requests++
			if isSmall {
				m.smallOrgRequests++
			}
		}
		send(org, func(outcome router.Outcome, cause router.Cause) {
			if counted {
				m.record(outcome, cause, sim.now.Sub(at), isSmall)
			}
		})
		sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (m *stats) record(outcome router.Outcome, cause router.Cause, took time.Duration, isSmall bool) {
	m.outcomes[string(outcome)+" "+string(cause)]++
	switch {
	case outcome == router.Completed && took <= requestTimeout:
		m.inTime++
		if isSmall {
			m.smallOrgLatencies = append(m.smallOrgLatencies, took)
		}
	case outcome == router.NotRun:
		m.refusalLatencies = append(m.refusalLatencies, took)
	}
}

func newStats() *stats { return &stats{outcomes: make(map[string]int)} }

// newServerSimulation returns a simulation with three entries, and with upstreams that
// are servers with adaptive limits.
func newServerSimulation(t require.TestingT) *simulation {
	sim := newSimulation(t, 7, 3, serverCount)
	for _, a := range sim.agents {
		a.server = &server{sim: sim, slots: serverSlots, updatedAt: sim.now}
		a.concurrency = 0
		a.start()
	}
	sim.broadcastUpstreams()
	sim.run(2 * time.Second)
	return sim
}

// sendRouted sends one idempotent request through a random entry.
func (sim *simulation) sendRouted(org identifier.Organisation, done func(router.Outcome, router.Cause)) {
	id := identifier.RequestID(fmt.Sprintf("r%d", len(sim.requests)))
	arrival := router.RequestArrived{
		ID: id, Organisation: org, Service: "drafting", Class: router.Idempotent,
		Deadline: sim.now.Add(requestTimeout),
	}
	sim.send(sim.entries[sim.rng.IntN(len(sim.entries))], arrival, func(a router.Answer) { done(a.Outcome, a.Cause) })
}

// baseline sends requests by round robin, without limits and with up to three tries
// per request.
type baseline struct {
	sim      *simulation
	next     int
	attempts int
	stopped  map[*server]bool
}

func (b *baseline) send(_ identifier.Organisation, done func(router.Outcome, router.Cause)) {
	b.attempt(3, b.sim.now.Add(requestTimeout), done)
}

func (b *baseline) attempt(triesLeft int, deadline time.Time, done func(router.Outcome, router.Cause)) {
	sim := b.sim
	s := sim.agents[b.next%len(sim.agents)].server
	b.next++
	b.attempts++
	finished := false
	fail := func() {
		finished = true
		if triesLeft > 1 && sim.now.Before(deadline) {
			b.attempt(triesLeft-1, deadline, done)
			return
		}
		done(router.Unknown, router.DeadlineExceeded)
	}
	if b.stopped[s] {
		sim.after(time.Millisecond, fail)
		return
	}
	j := s.add(requestWork, func() {
		if !finished {
			finished = true
			done(router.Completed, "")
		}
	})
	sim.after(requestTimeout/2, func() { // the timeout of one try
		if !finished {
			s.remove(j)
			fail()
		}
	})
}

// TestMeasureGoodput prints the goodput and the 95th percentile of the latency for
// small organisations at multiples of the capacity, for the router and for the
// baseline. It fails if the goodput collapses under overload: if at four times the
// capacity it is less than 95 % of that at the capacity.
func TestMeasureGoodput(t *testing.T) {
	goodput := make(map[float64]float64)
	for _, load := range []float64{0.5, 1, 2, 4} {
		smallShare := smallOrgShare / max(1, load) // only large organisations send more than the capacity
		routed, base := newStats(), newStats()
		sim := newServerSimulation(t)
		sim.generateLoad(load*totalCapacity, smallShare, warmUp+measuredTime, routed, sim.sendRouted)
		sim.run(warmUp + measuredTime + 10*time.Second)
		b := &baseline{sim: newServerSimulation(t)}
		b.sim.generateLoad(load*totalCapacity, smallShare, warmUp+measuredTime, base, b.send)
		b.sim.run(warmUp + measuredTime + 10*time.Second)
		goodput[load] = float64(routed.inTime) / measuredTime.Seconds()
		t.Logf("load %.1f: goodput %.1f/s, small p95 %v, small served %.3f, refusals p95 after %v; baseline %.1f/s, p95 %v, small served %.3f",
			load, goodput[load], routed.smallOrgP95().Round(time.Millisecond), float64(len(routed.smallOrgLatencies))/float64(routed.smallOrgRequests),
			percentile(routed.refusalLatencies, 0.95).Round(time.Millisecond), float64(base.inTime)/measuredTime.Seconds(),
			base.smallOrgP95().Round(time.Millisecond), float64(len(base.smallOrgLatencies))/float64(base.smallOrgRequests))
		t.Logf("    %v", routed.outcomes)
	}
	require.GreaterOrEqual(t, goodput[4], 0.95*goodput[1])
}

// TestMeasureHalfDies prints the sends per request when half of the upstreams stop. It
// fails if retries then multiply the load beyond 1.1 sends per request.
func TestMeasureHalfDies(t *testing.T) {
	sim := newServerSimulation(t)
	routed, before := newStats(), 0
	sim.generateLoad(0.4*totalCapacity, smallOrgShare, warmUp+measuredTime, routed, sim.sendRouted)
	sim.after(warmUp, func() { before = sim.attempts })
	sim.after(warmUp+10*time.Second, func() {
		for _, a := range sim.agents[:serverCount/2] {
			a.removePermanently(5 * time.Second)
		}
	})
	sim.run(warmUp + measuredTime + 10*time.Second)
	sends := float64(sim.attempts-before) / float64(routed.requests)
	b := &baseline{sim: newServerSimulation(t), stopped: make(map[*server]bool)}
	base, beforeBase := newStats(), 0
	b.sim.generateLoad(0.4*totalCapacity, smallOrgShare, warmUp+measuredTime, base, b.send)
	b.sim.after(warmUp, func() { beforeBase = b.attempts })
	b.sim.after(warmUp+10*time.Second, func() {
		for _, a := range b.sim.agents[:serverCount/2] {
			b.stopped[a.server] = true
		}
	})
	b.sim.run(warmUp + measuredTime + 10*time.Second)
	t.Logf("sends per request %.3f, completed in time %.4f, %v; baseline %.3f, %.4f", sends,
		float64(routed.inTime)/float64(routed.requests), routed.outcomes,
		float64(b.attempts-beforeBase)/float64(base.requests), float64(base.inTime)/float64(base.requests))
	require.LessOrEqual(t, sends, 1.1)
}

// TestMeasureStopping prints how long attempts are still sent to an upstream after it
// stopped, became slow or began to leave.
func TestMeasureStopping(t *testing.T) {
	for name, change := range map[string]func(sim *simulation, a *agent){
		"dead":    func(_ *simulation, a *agent) { a.removePermanently(time.Hour) },
		"slow":    func(_ *simulation, a *agent) { a.server.setSlots(serverSlots / 10.0) },
		"leaving": func(_ *simulation, a *agent) { a.leave() },
	} {
		sim := newServerSimulation(t)
		a := sim.agents[0]
		sim.generateLoad(0.5*totalCapacity, smallOrgShare, warmUp+measuredTime, newStats(), sim.sendRouted)
		sim.run(warmUp)
		sim.watchedUpstream, sim.watchedStarts = a.name, nil
		change(sim, a)
		sim.run(measuredTime)
		var last time.Duration
		late := 0
		for _, at := range sim.watchedStarts {
			last = at.Sub(epoch) - warmUp - 2*time.Second
			if last > 2*time.Second {
				late++
			}
		}
		t.Logf("%s: %d sends to it after the change, the last after %v; %d of them later than 2s, of %d sends in %v", name,
			len(sim.watchedStarts), last.Round(time.Millisecond), late, sim.attempts, measuredTime)
	}
}

// TestMeasureHalvedCapacity prints the goodput before and after every server loses half
// of its slots. The load is twice the initial capacity.
func TestMeasureHalvedCapacity(t *testing.T) {
	sim := newServerSimulation(t)
	first, second := newStats(), newStats()
	sim.generateLoad(2*totalCapacity, smallOrgShare, warmUp+measuredTime, first, sim.sendRouted)
	sim.run(warmUp + measuredTime)
	for _, a := range sim.agents {
		a.server.setSlots(serverSlots / 2)
	}
	sim.generateLoad(2*totalCapacity, smallOrgShare, warmUp+measuredTime, second, sim.sendRouted)
	sim.run(warmUp + measuredTime + 10*time.Second)
	t.Logf("goodput %.1f/s of %.1f/s, after halving %.1f/s of %.1f/s", float64(first.inTime)/measuredTime.Seconds(), totalCapacity,
		float64(second.inTime)/measuredTime.Seconds(), totalCapacity/2)
}
