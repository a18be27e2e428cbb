package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

func TestIsolatedLeaderStepsDown(t *testing.T) {
	sim := startedSimulation(t, 1)
	old := sim.leader()
	for _, n := range sim.nodes {
		sim.cut[link{old.addr, n.addr}] = true
		sim.cut[link{n.addr, old.addr}] = true
	}
	command := sim.propose(old)
	read := sim.read(old)
	sim.advance(3 * time.Second)
	require.NotEqual(t, replicator.Leader, old.reducer.Status().Role)
	require.Equal(t, replicator.NotLeader, sim.answers[read].(replicator.Rejected).Reason)
	require.Greater(t, sim.proposed[command].Index, recorder.Index(0))
	require.NotNil(t, sim.leader())
	clear(sim.cut)
	sim.converge()
}

// TestLeaderWithOneWayLink: a leader that receives no messages must step down,
// even though every other replica receives its heartbeats.
func TestLeaderWithOneWayLink(t *testing.T) {
	sim := startedSimulation(t, 2)
	old := sim.leader()
	for _, n := range sim.nodes {
		sim.cut[link{n.addr, old.addr}] = true
	}
	sim.advance(4 * time.Second)
	leader := sim.leader()
	require.NotNil(t, leader)
	require.NotEqual(t, old, leader)
}

// TestReturningReplicaDisturbsNobody: a replica campaigns without success while it
// is isolated. When it reconnects, it must not end the term of the leader.
func TestReturningReplicaDisturbsNobody(t *testing.T) {
	sim := startedSimulation(t, 3)
	term := sim.leader().reducer.Status().Term
	isolated := follower(sim)
	for _, n := range sim.nodes {
		sim.cut[link{isolated.addr, n.addr}] = true
		sim.cut[link{n.addr, isolated.addr}] = true
	}
	sim.advance(10 * time.Second)
	clear(sim.cut)
	sim.converge()
	require.Equal(t, term, sim.leader().reducer.Status().Term)
}

// TestOneDeafFollowerDisturbsNobody: a follower that receives messages from every
// replica but the leader must not win an election, because the others do receive
// the leader's heartbeats.
func TestOneDeafFollowerDisturbsNobody(t *testing.T) {
	sim := startedSimulation(t, 4)
	leader := sim.leader()
	sim.cut[link{leader.addr, follower(sim).addr}] = true
	sim.advance(10 * time.Second)
	require.Equal(t, leader, sim.leader())
	require.Equal(t, replicator.Leader, leader.reducer.Status().Role)
}

// TestPowerComesBack: when all replicas restart after a common power loss, one of
// them must lead within one election timeout, which is sooner than a follower
// replaces a leader that it has lost. Where two of six have lost their disks, all others
// must vote for one, and those that campaigned at once kept each other from winning.
func TestPowerComesBack(t *testing.T) {
	const days = 20
	for lost, replicas := range map[int]int{0: 3, 2: 6} {
		var waited time.Duration
		for seed := range uint64(days) {
			sim := newSimulation(t, 100+seed, replicas)
			sim.heal()
			sim.converge()
			for _, n := range sim.nodes {
				n.crash()
			}
			sim.advance(simulationConfig.ElectionTimeout) // no earlier message is in flight
			if lost > 0 {
				sim.maxDelay = simulationConfig.ElectionTimeout / 10
			}
			for _, n := range sim.nodes[lost:] {
				n.boot()
			}
			back := sim.now
			sim.advanceUntil("there is a leader", func() bool { return sim.leader() != nil })
			wait := sim.now.Sub(back)
			waited += wait
			if lost == 0 {
				require.LessOrEqual(t, wait, simulationConfig.ElectionTimeout, "seed %d", 100+seed)
				sim.converge()
			}
		}
		t.Logf("%d of %d lost: a leader after %v in the mean", lost, replicas, waited/days)
		require.Less(t, waited/days, simulationConfig.ElectionTimeout)
	}
}

// TestCommittedStateIsKnownBeforeALeader: after a loss of all power, a replica that no
// other answers applies what was committed. Instances fetch weights by it meanwhile.
func TestCommittedStateIsKnownBeforeALeader(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, 300+seed, 3)
		sim.heal()
		sim.converge()
		sim.advance(simulationConfig.ElectionTimeout)
		for _, n := range sim.nodes {
			n.crash()
		}
		alone := sim.nodes[seed%3]
		alone.boot()
		sim.advance(2 * tickEvery)
		require.Equal(t, sim.lastCommitted, alone.applied.Index, "seed %d", 300+seed)
		require.Nil(t, sim.leader())
	}
}

// TestRestartedReplicaDisturbsNobody: a restarted replica campaigns after a shorter
// timeout. It must not end the term of a leader that is still working.
func TestRestartedReplicaDisturbsNobody(t *testing.T) {
	sim := startedSimulation(t, 5)
	leader := sim.leader()
	term := leader.reducer.Status().Term
	for range 5 {
		n := follower(sim)
		n.crash()
		sim.cut[link{leader.addr, n.addr}] = true
		n.boot()
		sim.advance(simulationConfig.ElectionTimeout)
		clear(sim.cut)
		sim.advance(simulationConfig.ElectionTimeout)
	}
	require.Equal(t, leader, sim.leader())
	require.Equal(t, term, leader.reducer.Status().Term)
}

// TestTimeNeverFalls: the time of entries must not go back. A leader restarts from
// a snapshot, and its clock is behind the time of the snapshot's entry.
func TestTimeNeverFalls(t *testing.T) {
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	self := recorder.Member{Replica: "a", Name: "a", Voter: true}
	r := replicator.New(replicator.Config{Replica: "a", Name: "a"}, recorder.State{
		HardState: recorder.HardState{Cluster: "x", Term: 3},
		Snapshot: &recorder.Snapshot{
			Position:   recorder.Position{Index: 9, Term: 3},
			At:         at,
			Membership: recorder.Membership{Members: []recorder.Member{self}},
		},
	}, asserter.Strict{})
	now := at.Add(-time.Hour)
	var noop recorder.Entry
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		for _, effect := range r.Reduce(now, replicator.Ticked{}) {
			if p, ok := effect.(replicator.Persist); ok {
				noop = firstEntry(r.Reduce(now, replicator.Persisted{Sequence: p.Sequence}), noop)
			}
		}
	}
	require.Equal(t, recorder.Index(10), noop.Index)
	require.Equal(t, at, noop.At)
}

func firstEntry(effects []replicator.Effect, fallback recorder.Entry) recorder.Entry {
	for _, effect := range effects {
		if p, ok := effect.(replicator.Persist); ok && len(p.Entries) > 0 {
			return p.Entries[0]
		}
	}
	return fallback
}

// TestLostEntriesAreSentAgain: entries that are lost on the network must be sent
// again, even though heartbeats and their answers get through.
func TestLostEntriesAreSentAgain(t *testing.T) {
	for seed := range uint64(20) {
		sim := startedSimulation(t, seed)
		for range 12 {
			sim.propose(sim.leader())
		}
		sim.loss = 0.5
		sim.advance(20 * time.Millisecond)
		sim.loss = 0
		sim.advanceUntil("every node applies every entry", func() bool {
			for _, n := range sim.nodes {
				if n.applied.Index != sim.leader().reducer.Status().Last {
					return false
				}
			}
			return true
		})
	}
}

// TestNothingIsConfirmedBeforeSync: a follower must not acknowledge entries before
// Persisted reports that they are synced.
func TestNothingIsConfirmedBeforeSync(t *testing.T) {
	r := replicator.New(replicator.Config{Replica: "b", Name: "b"}, recorder.State{}, asserter.Strict{})
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	members := recorder.Membership{Members: []recorder.Member{{Replica: "a", Name: "a", Voter: true}, {Replica: "b", Name: "b", Voter: true}}}
	e := recorder.Entry{Index: 1, Term: 1, Kind: recorder.MembershipChange, Membership: &members}
	e.Chain = e.ChainAfter(0)
	request := &replicator.AppendRequest{
		Envelope: replicator.Envelope{Cluster: "x", From: "a", To: "b", Term: 2},
		Entries:  []recorder.Entry{e},
	}
	var last replicator.Sequence
	for _, effect := range r.Reduce(now, replicator.Received{Message: request}) {
		_, sent := effect.(replicator.Send)
		require.False(t, sent)
		if p, ok := effect.(replicator.Persist); ok {
			last = p.Sequence
		}
	}
	require.Empty(t, r.Reduce(now, replicator.Persisted{Sequence: last - 1}))
	effects := r.Reduce(now, replicator.Persisted{Sequence: last})
	require.Len(t, effects, 1)
	response, ok := effects[0].(replicator.Send).Message.(*replicator.AppendResponse)
	require.True(t, ok)
	require.Equal(t, recorder.Index(1), response.Match)
}

// TestBrokenInvariantHalts: if an invariant does not hold and the asserter does not
// panic, the replica must halt. Here two leaders share a term.
func TestBrokenInvariantHalts(t *testing.T) {
	var reported []string
	assert := asserter.Reporting{Report: func(_ asserter.Invariant, detail string) { reported = append(reported, detail) }}
	r := replicator.New(replicator.Config{Replica: "b", Name: "b"}, recorder.State{}, assert)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	heartbeat := func(from identifier.Replica) []replicator.Effect {
		return r.Reduce(now, replicator.Received{Message: &replicator.AppendRequest{
			Envelope: replicator.Envelope{Cluster: "x", From: from, To: "b", Term: 2},
		}})
	}
	heartbeat("a")
	effects := heartbeat("c")
	require.IsType(t, replicator.Halted{}, effects[len(effects)-1])
	require.Len(t, reported, 1)
	require.Empty(t, heartbeat("a"))
}

// Guards against a hand-over that times out while the successor, asked to campaign, syncs its vote: the leader would go on, and
// then step down for an election that the successor can't win.
func TestHandOverHasTimeForTheElection(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 2)
	h.feed(replicator.TransferRequested{ID: 20})
	h.now = h.now.Add(replicator.DefaultElectionTimeout * 9 / 10)
	h.acknowledge("b", 3)
	h.now = h.now.Add(replicator.DefaultElectionTimeout * 9 / 10)
	h.acknowledge("b", 3)
	h.feed(replicator.Ticked{})
	require.Empty(t, h.answers, "the successor still has time")
	h.now = h.now.Add(replicator.DefaultElectionTimeout / 5)
	h.acknowledge("b", 3)
	h.feed(replicator.Ticked{})
	require.Len(t, h.answers, 1)
	require.Equal(t, replicator.NotPossible, h.answers[0].(replicator.Rejected).Reason)
}

// Guards against commands that are committed although their callers have left: under load the leader would do nothing else.
func TestCommandWhoseCallerHasLeftIsDropped(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	before := len(h.entries)
	const large = int(replicator.DefaultMaxUnreceivedBytes)
	for id := range replicator.RequestID(3) {
		h.feed(replicator.Proposed{Proposals: []replicator.Proposal{{ID: 20 + id, Data: make([]byte, large)}}})
	}
	require.Len(t, h.entries, before+1, "the others wait")
	h.feed(replicator.Withdrawn{ID: 20})
	h.feed(replicator.Withdrawn{ID: 21})
	h.acknowledge("b", 4)
	require.Len(t, h.entries, before+2)
	h.acknowledge("b", 5)
	require.Len(t, h.entries, before+2)
	require.Equal(t, recorder.Index(5), h.applied)
	require.Empty(t, h.answers)
}
