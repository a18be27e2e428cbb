package catcher_test

import (
	"container/heap"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/catcher"
)

const (
	heartbeat = 500 * time.Millisecond
	// faultsEnd is when the last fault of a run is over. All processes must hold the newest
	// state within settlingTime: a heartbeat, a fetch that was begun before and expires, and
	// one that brings it.
	faultsEnd    = 20 * time.Second
	settlingTime = heartbeat + 8*time.Second + time.Second
	replicaCount = 3
)

// world runs the Catchers of processes that hear of each other's revisions. The first
// replicaCount of them are replicas.
type world struct {
	t       *rapid.T
	now     time.Duration
	events  schedule
	members []*member
	newest  catcher.Revision
	fetches int
}

type member struct {
	c    *catcher.Catcher
	held catcher.Revision
	up   bool
	// lies makes the member tell a higher revision than it holds.
	lies bool
	// delay is how long its answers take, and refuses makes it answer nothing.
	delay   time.Duration
	refuses bool
	follows []int
	// asked holds when each peer was last asked without success.
	asked map[netip.AddrPort]time.Duration
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	heap.Push(&w.events, event{at: w.now + d, order: len(w.events), run: run})
}

func newWorld(t *rapid.T, processes int) *world {
	w := &world{t: t, newest: 5}
	for i := range processes {
		m := &member{up: true, delay: 2 * time.Millisecond, asked: make(map[netip.AddrPort]time.Duration)}
		salted := cfg
		salted.Salt = uint64(i)
		m.c = catcher.New(salted)
		for r := range replicaCount {
			if r != i {
				m.follows = append(m.follows, r)
			}
		}
		// Seeds that are no replicas, with any mixture of states.
		for range rapid.IntRange(0, 2).Draw(t, "seeds") {
			m.follows = append(m.follows, rapid.IntRange(0, processes-1).Draw(t, "seed"))
		}
		w.members = append(w.members, m)
		w.hold(i, catcher.Revision(rapid.IntRange(0, 5).Draw(t, "held")))
		w.after(time.Duration(i)*heartbeat/time.Duration(processes), func() { w.beat(i) })
	}
	return w
}

// beat has a member tell its revision to those that follow it.
func (w *world) beat(i int) {
	w.after(heartbeat, func() { w.beat(i) })
	from := w.members[i]
	for j, m := range w.members {
		for _, followed := range m.follows {
			if followed != i || !m.up || j == i {
				continue
			}
			if !from.up {
				w.reduce(j, catcher.Left{Peer: addr(i)})
				continue
			}
			revision := from.held
			if from.lies {
				revision++
			}
			w.reduce(j, catcher.Told{Peer: addr(i), Revision: revision, Confirmed: i < replicaCount && !from.lies})
		}
	}
}

func (w *world) reduce(i int, e catcher.Event) {
	m := w.members[i]
	c := m.c
	for _, f := range c.Reduce(start.Add(w.now), e) {
		w.fetches++
		last, ok := m.asked[f.Peer]
		require.True(w.t, !ok || w.now-last >= cfg.RetryDelay, "a peer without news is asked again")
		m.asked[f.Peer] = w.now
		held := m.held
		source := w.members[int(f.Peer.Addr().As4()[2])<<8+int(f.Peer.Addr().As4()[3])]
		w.after(min(source.delay, f.Timeout), func() {
			if m.c != c || !m.up {
				return // the process has restarted
			}
			ended := catcher.Ended{Peer: f.Peer, Expired: true}
			if source.up && !source.refuses && source.delay < f.Timeout {
				ended.Expired, ended.Revision = false, source.held
				if source.held > held {
					delete(m.asked, f.Peer)
				}
				w.hold(i, max(m.held, source.held))
			}
			w.reduce(i, ended)
		})
	}
}

func (w *world) hold(i int, r catcher.Revision) {
	w.members[i].held = r
	w.reduce(i, catcher.Held{Revision: r})
}

// restart has a process begin anew with what it held on a disk.
func (w *world) restart(i int, held catcher.Revision) {
	m := w.members[i]
	m.c, m.up, m.held = catcher.New(cfg), true, 0
	clear(m.asked)
	w.hold(i, held)
}

// fault causes one fault now, and has it end before faultsEnd.
func (w *world) fault() {
	i := rapid.IntRange(0, len(w.members)-1).Draw(w.t, "member")
	m := w.members[i]
	lasts := time.Duration(rapid.IntRange(10, 4000).Draw(w.t, "lasts")) * time.Millisecond
	replica := i < replicaCount
	switch rapid.SampledFrom([]string{"power", "disk", "lie", "slow", "refuse"}).Draw(w.t, "fault") {
	case "power":
		m.up = false
		held := m.held
		w.after(lasts, func() {
			if replica {
				w.restart(i, held)
			} else {
				w.restart(i, 0)
			}
		})
	case "disk":
		m.up = false
		w.after(lasts, func() { w.restart(i, 0) })
	case "lie":
		m.lies = true
		w.after(lasts, func() { m.lies = false })
	case "slow":
		m.delay = lasts
		w.after(lasts, func() { m.delay = 2 * time.Millisecond })
	case "refuse":
		m.refuses = true
		w.after(lasts, func() { m.refuses = false })
	}
}

// commit has a replica that is up hold a new revision, as consensus would.
func (w *world) commit() {
	for i := range replicaCount {
		if w.members[i].up && !w.members[i].lies {
			w.newest++
			w.hold(i, w.newest)
			return
		}
	}
}

func (w *world) run(until time.Duration) {
	for w.now < until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
}

func runWorld(t *rapid.T, processes int) *world {
	w := newWorld(t, processes)
	const longestFault = 4 * time.Second
	for range rapid.IntRange(0, 20).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, int((faultsEnd-longestFault)/time.Millisecond)).Draw(t, "at")) * time.Millisecond
		w.after(at, w.fault)
	}
	for range rapid.IntRange(0, 5).Draw(t, "changes") {
		w.after(time.Duration(rapid.IntRange(0, int(faultsEnd/time.Millisecond)).Draw(t, "at"))*time.Millisecond, w.commit)
	}
	w.run(faultsEnd)
	w.commit()
	w.run(faultsEnd + settlingTime)
	for i, m := range w.members {
		require.Equal(t, w.newest, m.held, "process %d", i)
		require.Equal(t, catcher.Progress{Held: w.newest, Announced: w.newest}, m.c.Progress())
	}
	return w
}

// Guards against processes that stay behind, and against floods of fetches, whatever their
// peers hold and whichever of them go, return, lie, refuse or are slow.
func TestAllProcessesCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runWorld(t, rapid.SampledFrom([]int{4, 7, 49}).Draw(t, "processes")) })
}

// Guards against fetches that grow faster than the number of processes: after a change each
// process fetches about once.
func TestFetchesGrowWithProcesses(t *testing.T) {
	for _, processes := range []int{7, 49, 300} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				w := newWorld(rt, processes)
				w.run(5 * time.Second)
				before := w.fetches
				w.commit()
				w.run(w.now + 5*time.Second)
				require.LessOrEqual(rt, w.fetches-before, processes)
			})
		})
	}
}
