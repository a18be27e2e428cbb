package replicator_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryvalve/replicator"
)

// TestMain fixes the seed of the randomised runs, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "20301", "rapid.checks": "150", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRandomisedFaults lets random faults befall three or five replicas. The
// invariants are asserted by the reducers and by the observer of the world.
func TestRandomisedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "n")
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), n)
		if rapid.Bool().Draw(t, "rates") {
			for _, node := range w.nodes {
				node.rate = rapid.SampledFrom([]float64{0.6, 1, 1.5}).Draw(t, "rate")
			}
		}
		w.heal()
		t.Repeat(actions(w))
		w.heal()
		w.repairAll()
		w.converge()
	})
}

func actions(w *world) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
	pause := func(t *rapid.T) {
		w.advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
	}
	ask := func(t *rapid.T) *node {
		if leader := w.leader(); leader != nil && rapid.Bool().Draw(t, "leader") {
			return leader
		}
		return pick(t)
	}
	return map[string]func(*rapid.T){
		"":            func(*rapid.T) { w.advance(time.Millisecond) },
		"advance":     func(t *rapid.T) { pause(t); pause(t) },
		"advanceLong": func(*rapid.T) { w.advance(3 * time.Second) },
		"propose": func(t *rapid.T) {
			commands := rapid.IntRange(1, 15).Draw(t, "commands")
			for _, n := range w.nodes {
				for range commands {
					w.propose(n)
				}
			}
			pause(t)
		},
		"read": func(t *rapid.T) {
			for _, n := range w.nodes {
				w.read(n)
			}
			pause(t)
		},
		"thawAndRead": func(t *rapid.T) {
			n := pick(t)
			n.thaw()
			w.read(n)
			pause(t)
		},
		"crash": func(t *rapid.T) { pick(t).crash(); pause(t) },
		"restart": func(t *rapid.T) {
			if n := pick(t); !n.running {
				n.boot()
			}
			pause(t)
		},
		"freeze": func(t *rapid.T) { ask(t).frozen = true; pause(t) },
		"thaw":   func(t *rapid.T) { pick(t).thaw(); pause(t) },
		"cutOneWay": func(t *rapid.T) {
			w.cut[link{pick(t).addr, pick(t).addr}] = true
			pause(t)
		},
		"isolate": func(t *rapid.T) {
			n := ask(t)
			for _, other := range w.nodes {
				w.cut[link{n.addr, other.addr}] = true
				w.cut[link{other.addr, n.addr}] = true
			}
			pause(t)
		},
		"healLinks": func(t *rapid.T) { clear(w.cut); w.loss = 0; pause(t) },
		"weather": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			w.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
			w.maxDelay = time.Duration(rapid.SampledFrom([]int{1, 20, 400}).Draw(t, "delay")) * time.Millisecond
		},
		"slowDisk": func(t *rapid.T) { n := pick(t); n.slowDisk = !n.slowDisk; pause(t) },
		"transfer": func(t *rapid.T) {
			w.nextID++
			ask(t).feed(replicator.TransferRequested{ID: w.nextID})
			pause(t)
		},
		"loseDisk": func(t *rapid.T) {
			if !w.mayLoseDisk() {
				t.Skip("an earlier loss is not repaired")
			}
			n := ask(t)
			n.loseDisk()
			pause(t)
			n.boot()
			pause(t)
		},
		"admit": func(t *rapid.T) {
			leader := w.leader()
			if leader == nil {
				t.Skip("no leader")
			}
			for _, n := range w.nodes {
				for _, j := range n.reducer.Status().Joiners {
					w.admit(n, j.Name)
				}
			}
			pause(t)
		},
		"remove": func(t *rapid.T) {
			if w.lostVoters() > 0 || len(w.membership().Members) < 3 {
				t.Skip("members are missing")
			}
			for _, n := range w.nodes {
				if n.frozen {
					continue // it would act after a loss that the removal rules out
				}
				w.nextID++
				n.feed(replicator.RemoveRequested{ID: w.nextID, Name: pick(t).name})
			}
			pause(t)
		},
	}
}
