package replicator_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/recorder"
	"celeryvalve/repairer"
	"celeryvalve/replicator"
)

// runRepairer lets the repairer make one decision on the leader's status, and
// carries it out.
func (sim *simulation) runRepairer(cfg repairer.Config) {
	leader := sim.leader()
	if leader == nil {
		return
	}
	switch action := repairer.New(cfg).Decide(leader.clock(), leader.reducer.Status()); action.Kind {
	case repairer.Admit:
		sim.admit(leader, action.Name)
	case repairer.AddStandby:
		sim.nextID++
		leader.feed(replicator.AdmitRequested{ID: sim.nextID, Name: action.Name, Standby: true})
	case repairer.Replace:
		sim.nextID++
		leader.feed(replicator.ReplaceRequested{ID: sim.nextID, Voter: action.Voter, Standby: action.Standby})
	case repairer.Remove:
		sim.nextID++
		leader.feed(replicator.RemoveRequested{ID: sim.nextID, Name: action.Name})
	}
	sim.wipeExcludedReplicas(leader, cfg)
}

// reopenTime is how long an excluded replica takes to open its emptied disk.
const reopenTime = 200 * time.Millisecond

// wipeExcludedReplicas restarts, with an empty disk, the replicas that have learned from the
// leader that they are no longer members.
func (sim *simulation) wipeExcludedReplicas(leader *node, cfg repairer.Config) {
	committed, ok := repairer.CommittedMembershipOf(leader.reducer.Status())
	if !ok {
		return
	}
	for _, n := range sim.nodes {
		if !n.running || n.frozen || sim.cut[link{leader.addr, n.addr}] {
			continue
		}
		if n.exclusion == nil {
			n.exclusion = repairer.NewExclusion(cfg)
		}
		if n.exclusion.Observe(n.clock(), n.reducer.Status(), committed) {
			n.loseDisk()
			n.spare = true // it must not found another cluster
			emptied := n.replica
			sim.schedule(reopenTime, func() {
				if !n.running && n.replica == emptied {
					n.boot()
				}
			})
		}
	}
}

// TestRepairerMendsTheSet: after disk losses among other faults, the repairer alone
// must restore the full set of voters. A disk is lost only while a majority of the
// disks remains. The simulation asserts that no committed entry is lost and that no
// two leaders share a term.
func TestRepairerMendsTheSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "n")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		cfg := repairer.NewConfig(n/2, 0)
		sim.heal()
		sim.advance(3 * time.Second)
		all := actions(sim)
		names := []string{"advance", "propose", "crash", "restart", "freeze", "thaw", "isolate", "healLinks", "slowDisk", "loseDisk"}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "action")
			if name == "loseDisk" && !sim.mayLoseDisk() {
				continue
			}
			all[name](t)
			sim.runRepairer(cfg)
		}
		sim.heal()
		sim.advanceUntil("the repairer has restored the set of voters", func() bool {
			sim.runRepairer(cfg)
			sim.advance(200 * time.Millisecond)
			return sim.leader() != nil && sim.fullyRepaired()
		})
		sim.converge()
	})
}

// TestEmptyReplicaAnnouncesItselfToContacts: an empty replica whose settings name
// no founder must announce itself to its contacts, and must not bootstrap a
// cluster.
func TestEmptyReplicaAnnouncesItselfToContacts(t *testing.T) {
	own, contact := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	now := time.Unix(1_700_000_000, 0)
	r := replicator.New(replicator.Config{Replica: "new", Name: "n", Addr: own}, recorder.State{}, asserter.Strict{})
	require.Empty(t, r.Reduce(now, replicator.Ticked{}))
	r.Reduce(now, replicator.ContactsChanged{Addrs: []netip.AddrPort{own, contact}})
	effects := r.Reduce(now.Add(time.Second), replicator.Ticked{})
	require.Len(t, effects, 1)
	sent, ok := effects[0].(replicator.Send)
	require.True(t, ok)
	require.Equal(t, contact, sent.To)
	require.IsType(t, &replicator.Hello{}, sent.Message)
}
