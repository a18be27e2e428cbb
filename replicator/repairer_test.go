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

// mend has the leader's repairer decide, as often as a shell asks it.
func (w *world) mend(r *repairer.Repairer) {
	leader := w.leader()
	if leader == nil {
		return
	}
	switch action := r.Decide(leader.clock(), leader.reducer.Status()); action.Kind {
	case repairer.Admit:
		w.admit(leader, action.Name)
	case repairer.Remove:
		w.nextID++
		leader.feed(replicator.RemoveRequested{ID: w.nextID, Name: action.Name})
	}
	w.renewOutcasts(leader)
}

// renewOutcasts gives an empty disk to replicas that hear that they are out.
func (w *world) renewOutcasts(leader *node) {
	committed, ok := repairer.CommittedOf(leader.reducer.Status())
	if !ok {
		return
	}
	for _, n := range w.nodes {
		cut := w.cut[link{leader.addr, n.addr}]
		if n.running && !n.frozen && !cut && repairer.IsOutcast(n.reducer.Status(), committed) {
			n.loseDisk()
			n.boot()
		}
	}
}

// TestRepairerMendsTheSet lets replicas lose their disks among other faults, one
// before the other is repaired at most, and nobody admits them but the repairer.
// The world asserts that nothing committed is lost and no two leaders share a term.
func TestRepairerMendsTheSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "n")
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), n)
		r := repairer.New(repairer.Config{Tolerated: n / 2, SilentAfter: 10 * time.Second, JoinerLifetime: time.Second})
		w.heal()
		w.advance(3 * time.Second)
		all := actions(w)
		names := []string{"advance", "propose", "crash", "restart", "freeze", "thaw", "isolate", "healLinks", "slowDisk", "loseDisk"}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "action")
			if name == "loseDisk" && !w.mayLoseDisk() {
				continue
			}
			all[name](t)
			w.mend(r)
		}
		w.heal()
		w.advanceUntil("the repairer has mended the set", func() bool {
			w.mend(r)
			w.advance(200 * time.Millisecond)
			return w.leader() != nil && w.whole()
		})
		w.converge()
	})
}

// An empty replica whose settings name no founder announces itself to the
// contacts that it is given, and founds nothing.
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
