package stager_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/stager"
)

// model is a service whose engines load releases in virtual time. Agents poll their engines
// every 200 ms, and learn of a change at another engine 300 ms after it.
type model struct {
	rollout time.Duration
	engines []*modelEngine
	wanted  declarer.ReleaseNumber
	// names are the times at which releases became wanted.
	names  map[declarer.ReleaseNumber]time.Duration
	maxOut int
}

type modelEngine struct {
	reducer  *stager.Reducer
	name     identifier.Upstream
	release  declarer.ReleaseNumber
	orders   uint64
	serves   []declarer.ReleaseNumber // by tick
	swap     time.Duration
	holdsAt  map[declarer.ReleaseNumber]time.Duration
	loadsAt  time.Duration
	loading  declarer.ReleaseNumber
	staged   declarer.ReleaseNumber // to be reported at the next poll
	spoilt   int                    // stagings that will fail
	dead     bool
	ordered  bool
	servesIt declarer.ReleaseNumber
}

const (
	tick      = 100 * time.Millisecond
	newsTicks = 3
)

// newModel returns engines that hold release 1 and whose swaps take 0.8 to 2.4 s.
func newModel(engines int, rollout time.Duration) *model {
	random := rand.New(rand.NewPCG(1, 2))
	m := &model{rollout: rollout, names: make(map[declarer.ReleaseNumber]time.Duration)}
	for i := range engines {
		m.engines = append(m.engines, &modelEngine{
			reducer: stager.New(stager.Config{RolloutTime: rollout}), name: identifier.Upstream(fmt.Sprintf("i-%03d", i)),
			release: 1, servesIt: 1, swap: time.Duration(800+random.IntN(1600)) * time.Millisecond,
			holdsAt: make(map[declarer.ReleaseNumber]time.Duration),
		})
	}
	return m
}

// name has a release become wanted, whose chunks every engine holds between first and last.
func (m *model) name(n declarer.ReleaseNumber, at, first, last time.Duration) {
	m.names[n] = at
	for i, e := range m.engines {
		e.holdsAt[n] = first + (last-first)*time.Duration(i)/time.Duration(len(m.engines))
	}
}

func (m *model) position(rank int) stager.RolloutPosition {
	p := stager.RolloutPosition{Rank: rank}
	for i, e := range m.engines {
		if i == rank {
			continue
		}
		serves := declarer.ReleaseNumber(1)
		if seen := len(e.serves) - newsTicks; seen >= 0 {
			serves = e.serves[seen]
		}
		p.Others = append(p.Others, stager.Other{Upstream: e.name, Serves: serves})
	}
	return p
}

// run plays until a time, and counts how many engines are out.
func (m *model) run(from, until time.Duration) {
	for now := from; now < until; now += tick {
		for n, since := range m.names {
			if since <= now {
				m.wanted = max(m.wanted, n)
			}
		}
		out := 0
		for i, e := range m.engines {
			if !e.dead {
				m.poll(now, i, e)
			}
			e.serves = append(e.serves, e.servesIt)
			if e.servesIt == 0 {
				out++
			}
		}
		m.maxOut = max(m.maxOut, out)
	}
}

func (m *model) poll(now time.Duration, i int, e *modelEngine) {
	if e.loading != 0 && now >= e.loadsAt {
		e.release, e.loading = e.loading, 0
	}
	if (now/tick+time.Duration(i))%2 != 0 {
		return
	}
	if e.staged != 0 {
		verified := e.spoilt == 0
		e.spoilt = max(0, e.spoilt-1)
		n := e.staged
		e.staged = 0
		m.apply(now, e, stager.Staged{Release: n, Verified: verified})
	}
	if e.ordered {
		e.ordered = false
		m.apply(now, e, stager.Ordered{Accepted: true})
	}
	since := m.rollout
	for n := e.release + 1; n <= m.wanted; n++ {
		since = min(since, m.names[n])
	}
	m.apply(now, e, stager.Wanted{Model: "m", Release: m.wanted, Held: m.wanted > 0 && e.holdsAt[m.wanted] <= now, WantedSince: at(since)})
	o := serving(e.release, e.orders, m.position(i))
	o.Report.Busy = e.loading != 0
	m.apply(now, e, o)
}

func (m *model) apply(now time.Duration, e *modelEngine, event stager.Event) {
	for _, effect := range e.reducer.Reduce(at(now), event) {
		switch f := effect.(type) {
		case stager.Stage:
			e.staged = f.Release
		case stager.Order:
			e.orders, e.loading, e.loadsAt, e.ordered = e.orders+1, f.Release, now+e.swap, true
		case stager.Announce:
			e.servesIt = f.Release
		}
	}
}

// serving returns how many engines take requests with a release.
func (m *model) serving(n declarer.ReleaseNumber) int {
	serving := 0
	for _, e := range m.engines {
		if e.servesIt == n && !e.dead {
			serving++
		}
	}
	return serving
}

func (m *model) loaded(n declarer.ReleaseNumber) int {
	loaded := 0
	for _, e := range m.engines {
		if e.release >= n {
			loaded++
		}
	}
	return loaded
}

// Load pattern: a release for all engines of a service under load, whose chunks come 4 s after
// its naming and have to be in force 9.7 s after it. A third of the engines used to be out at
// once however much time was left.
func TestSwapsFillTheTimeThatIsLeft(t *testing.T) {
	for _, engines := range []int{38, 57, 204} {
		for _, rollout := range []time.Duration{9700 * time.Millisecond, 13400 * time.Millisecond} {
			m := newModel(engines, rollout)
			m.name(2, 0, 3600*time.Millisecond, 4200*time.Millisecond)
			m.run(0, rollout-1200*time.Millisecond)
			t.Logf("%d engines in %v: %d out at most, %d loaded", engines, rollout, m.maxOut, m.loaded(2))
			// A swap lasts 2.1 s in the mean, polls of the engine included: 0.41 of the engines
			// have to be out at a time in the one case, and 0.23 in the other.
			most := map[time.Duration]float64{9700 * time.Millisecond: 0.55, 13400 * time.Millisecond: 0.33}[rollout]
			require.LessOrEqual(t, float64(m.maxOut), most*float64(engines), "out at once")
			require.Zero(t, m.serving(1), "entries refuse the old release now")
			m.run(rollout-1200*time.Millisecond, rollout)
			require.GreaterOrEqual(t, m.loaded(2), engines*9/10)
			m.run(rollout, rollout+1500*time.Millisecond)
			require.Equal(t, engines, m.loaded(2))
		}
	}
}

// A release is replaced 2 s after its naming, and by then some engines hold it; one engine is
// dead, a second never gets the chunks in time, and on a third of the engines what was
// staged first is bad. The rest goes on, and nobody serves the first release at its end.
func TestSwapsGoOnWhereEnginesFail(t *testing.T) {
	const engines, rollout = 57, 9700 * time.Millisecond
	m := newModel(engines, rollout)
	m.name(2, 0, 1500*time.Millisecond, 4*time.Second)
	m.name(3, 2*time.Second, 4*time.Second, 4500*time.Millisecond)
	m.engines[5].dead = true
	m.engines[7].holdsAt[3] = time.Hour
	for i := 0; i < engines; i += 3 {
		m.engines[i].spoilt = 2
	}
	m.run(0, 4*time.Second)
	require.Less(t, m.maxOut, engines/2)
	m.run(4*time.Second, rollout-1200*time.Millisecond)
	require.LessOrEqual(t, m.serving(1)+m.serving(2), 2, "the late engine, and those that began with release 2")
	m.run(rollout-1200*time.Millisecond, rollout+2*time.Second)
	require.Equal(t, engines-2, m.loaded(3))
}
