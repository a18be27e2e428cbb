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
	w := startedWorld(t, 1)
	old := w.leader()
	for _, n := range w.nodes {
		w.cut[link{old.addr, n.addr}] = true
		w.cut[link{n.addr, old.addr}] = true
	}
	command := w.propose(old)
	read := w.read(old)
	w.advance(3 * time.Second)
	require.NotEqual(t, replicator.Leader, old.reducer.Status().Role)
	require.Equal(t, replicator.NotLeader, w.answers[read].(replicator.Rejected).Reason)
	require.Greater(t, w.proposed[command].Index, recorder.Index(0))
	require.NotNil(t, w.leader())
	clear(w.cut)
	w.converge()
}

// TestLeaderWithOneWayLink: a leader that hears nobody must step down even
// though everybody hears it.
func TestLeaderWithOneWayLink(t *testing.T) {
	w := startedWorld(t, 2)
	old := w.leader()
	for _, n := range w.nodes {
		w.cut[link{n.addr, old.addr}] = true
	}
	w.advance(4 * time.Second)
	leader := w.leader()
	require.NotNil(t, leader)
	require.NotEqual(t, old, leader)
}

// TestReturningReplicaDisturbsNobody: a replica that was cut off has campaigned
// in vain and must not end the term of the leader.
func TestReturningReplicaDisturbsNobody(t *testing.T) {
	w := startedWorld(t, 3)
	term := w.leader().reducer.Status().Term
	away := follower(w)
	for _, n := range w.nodes {
		w.cut[link{away.addr, n.addr}] = true
		w.cut[link{n.addr, away.addr}] = true
	}
	w.advance(10 * time.Second)
	clear(w.cut)
	w.converge()
	require.Equal(t, term, w.leader().reducer.Status().Term)
}

// TestOneDeafFollowerDisturbsNobody: a follower that hears all but the leader
// must not win the votes of those who do hear it.
func TestOneDeafFollowerDisturbsNobody(t *testing.T) {
	w := startedWorld(t, 4)
	leader := w.leader()
	w.cut[link{leader.addr, follower(w).addr}] = true
	w.advance(10 * time.Second)
	require.Equal(t, leader, w.leader())
	require.Equal(t, replicator.Leader, leader.reducer.Status().Role)
}

// TestPowerComesBack: after all replicas lost their power at once, one of them
// leads sooner than a follower waits for a leader that it has lost.
func TestPowerComesBack(t *testing.T) {
	for seed := range uint64(20) {
		w := startedWorld(t, 100+seed)
		for _, n := range w.nodes {
			n.crash()
		}
		w.advance(worldConfig.ElectionTimeout) // nothing of before is under way
		for _, n := range w.nodes {
			n.boot()
		}
		w.advance(worldConfig.ElectionTimeout)
		require.NotNil(t, w.leader(), "seed %d", 100+seed)
		w.converge()
	}
}

// TestRestartedReplicaDisturbsNobody: one that starts again looks for a leader
// sooner, and must not end the term of the one that lives.
func TestRestartedReplicaDisturbsNobody(t *testing.T) {
	w := startedWorld(t, 5)
	leader := w.leader()
	term := leader.reducer.Status().Term
	for range 5 {
		n := follower(w)
		n.crash()
		w.cut[link{leader.addr, n.addr}] = true
		n.boot()
		w.advance(worldConfig.ElectionTimeout)
		clear(w.cut)
		w.advance(worldConfig.ElectionTimeout)
	}
	require.Equal(t, leader, w.leader())
	require.Equal(t, term, leader.reducer.Status().Term)
}

// TestTimeNeverFalls: a leader that restarted from a snapshot and whose clock
// is behind continues after the time of the snapshot's entry.
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

func firstEntry(effects []replicator.Effect, otherwise recorder.Entry) recorder.Entry {
	for _, effect := range effects {
		if p, ok := effect.(replicator.Persist); ok && len(p.Entries) > 0 {
			return p.Entries[0]
		}
	}
	return otherwise
}

// TestLostEntriesAreSentAgain: requests with entries are lost while heartbeats
// and answers pass.
func TestLostEntriesAreSentAgain(t *testing.T) {
	for seed := range uint64(20) {
		w := startedWorld(t, seed)
		for range 12 {
			w.propose(w.leader())
		}
		w.loss = 0.5
		w.advance(20 * time.Millisecond)
		w.loss = 0
		w.advanceUntil("every node applies all", func() bool {
			for _, n := range w.nodes {
				if n.applied.Index != w.leader().reducer.Status().Last {
					return false
				}
			}
			return true
		})
	}
}

// TestNothingIsConfirmedBeforeSync: a follower answers only once Persisted came.
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

// TestBrokenInvariantHalts: with an asserter that reports, the replica stops.
func TestBrokenInvariantHalts(t *testing.T) {
	var reported []string
	assert := asserter.Reporting{Report: func(_ asserter.Invariant, detail string) { reported = append(reported, detail) }}
	r := replicator.New(replicator.Config{Replica: "b", Name: "b"}, recorder.State{}, assert)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	beat := func(from identifier.Replica) []replicator.Effect {
		return r.Reduce(now, replicator.Received{Message: &replicator.AppendRequest{
			Envelope: replicator.Envelope{Cluster: "x", From: from, To: "b", Term: 2},
		}})
	}
	beat("a")
	effects := beat("c")
	require.IsType(t, replicator.Halted{}, effects[len(effects)-1])
	require.Len(t, reported, 1)
	require.Empty(t, beat("a"))
}
