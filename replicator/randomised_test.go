package replicator_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryvalve/replicator"
)

// TestMain sets a fixed seed and the extent of the randomised runs, except for
// flags that are given on the command line.
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

// TestRandomisedFaults runs three or five replicas under random faults. The
// replicators and the simulation assert the invariants, and in the end every
// replica must vote and apply a new command.
func TestRandomisedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "n")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		if rapid.Bool().Draw(t, "rates") {
			for _, node := range sim.nodes {
				node.clockRate = rapid.SampledFrom([]float64{0.6, 1, 1.5}).Draw(t, "rate")
			}
		}
		sim.heal()
		t.Repeat(actions(sim))
		sim.heal()
		sim.repairAll()
		sim.converge()
	})
}

func actions(sim *simulation) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *node { return sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")] }
	pause := func(t *rapid.T) {
		sim.advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
	}
	pickLeaderOrAny := func(t *rapid.T) *node {
		if leader := sim.leader(); leader != nil && rapid.Bool().Draw(t, "leader") {
			return leader
		}
		return pick(t)
	}
	return map[string]func(*rapid.T){
		"":            func(*rapid.T) { sim.advance(time.Millisecond) },
		"advance":     func(t *rapid.T) { pause(t); pause(t) },
		"advanceLong": func(*rapid.T) { sim.advance(3 * time.Second) },
		"propose": func(t *rapid.T) {
			commands := rapid.IntRange(1, 15).Draw(t, "commands")
			for _, n := range sim.nodes {
				for range commands {
					sim.propose(n)
				}
			}
			pause(t)
		},
		"read": func(t *rapid.T) {
			for _, n := range sim.nodes {
				sim.read(n)
			}
			pause(t)
		},
		"thawAndRead": func(t *rapid.T) {
			n := pick(t)
			n.thaw()
			sim.read(n)
			pause(t)
		},
		"crash": func(t *rapid.T) { pick(t).crash(); pause(t) },
		"restart": func(t *rapid.T) {
			if n := pick(t); !n.running {
				n.boot()
			}
			pause(t)
		},
		"freeze": func(t *rapid.T) { pickLeaderOrAny(t).frozen = true; pause(t) },
		"thaw":   func(t *rapid.T) { pick(t).thaw(); pause(t) },
		"cutOneWay": func(t *rapid.T) {
			sim.cut[link{pick(t).addr, pick(t).addr}] = true
			pause(t)
		},
		"isolate": func(t *rapid.T) {
			n := pickLeaderOrAny(t)
			for _, other := range sim.nodes {
				sim.cut[link{n.addr, other.addr}] = true
				sim.cut[link{other.addr, n.addr}] = true
			}
			pause(t)
		},
		"healLinks": func(t *rapid.T) { clear(sim.cut); sim.loss = 0; pause(t) },
		"weather": func(t *rapid.T) {
			sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			sim.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
			sim.maxDelay = time.Duration(rapid.SampledFrom([]int{1, 20, 400}).Draw(t, "delay")) * time.Millisecond
		},
		"slowDisk": func(t *rapid.T) { n := pick(t); n.slowDisk = !n.slowDisk; pause(t) },
		"transfer": func(t *rapid.T) {
			sim.nextID++
			pickLeaderOrAny(t).feed(replicator.TransferRequested{ID: sim.nextID})
			pause(t)
		},
		"loseDisk": func(t *rapid.T) {
			if !sim.mayLoseDisk() {
				t.Skip("an earlier loss is not repaired")
			}
			n := pickLeaderOrAny(t)
			n.loseDisk()
			pause(t)
			n.boot()
			pause(t)
		},
		"admit": func(t *rapid.T) {
			leader := sim.leader()
			if leader == nil {
				t.Skip("no leader")
			}
			for _, n := range sim.nodes {
				for _, j := range n.reducer.Status().Joiners {
					sim.admit(n, j.Name)
				}
			}
			pause(t)
		},
		"remove": func(t *rapid.T) {
			if sim.lostVoters() > 0 || len(sim.membership().Members) < 3 {
				t.Skip("a voter lost its disk, or too few members are left")
			}
			for _, n := range sim.nodes {
				if n.frozen {
					continue // it would remove the member after thawing, when a disk may be lost
				}
				sim.nextID++
				n.feed(replicator.RemoveRequested{ID: sim.nextID, Name: pick(t).name})
			}
			pause(t)
		},
	}
}
