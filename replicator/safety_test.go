package replicator_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// harness runs one replicator, and the test sends the messages of its peers.
type harness struct {
	t       *testing.T
	reducer *replicator.Replicator
	now     time.Time
	term    recorder.Term
	role    replicator.Role
	applied recorder.Index
	answers []replicator.Effect
	// entries are all entries that the replicator asked to persist.
	entries []recorder.Entry
	// command is the command in the stored log.
	command recorder.Entry
}

func voters(names ...identifier.Replica) *recorder.Membership {
	m := &recorder.Membership{}
	for _, name := range names {
		m.Members = append(m.Members, recorder.Member{Replica: name, Name: string(name), Voter: true})
	}
	return m
}

// first returns the first entry of a cluster with the members.
func first(members *recorder.Membership) recorder.Entry {
	e := recorder.Entry{Index: 1, Term: 1, Kind: recorder.MembershipChange, Membership: members}
	e.Chain = e.ChainAfter(0)
	return e
}

// second returns a command of term 2 that follows the first entry.
func second(members *recorder.Membership) recorder.Entry {
	e := recorder.Entry{Index: 2, Term: 2, Data: []byte("command")}
	e.Chain = e.ChainAfter(first(members).Chain)
	return e
}

// newHarness returns replica "a" with a snapshot of the membership and one command
// of term 2 in its log, which is not known to be committed.
func newHarness(t *testing.T, members *recorder.Membership, assert asserter.Asserter) *harness {
	first, second := first(members), second(members)
	state := recorder.State{
		HardState: recorder.HardState{Cluster: "x", Term: 2},
		Snapshot:  &recorder.Snapshot{Position: first.Position(), Membership: *members},
		Entries:   []recorder.Entry{second},
	}
	return &harness{
		t: t, command: second, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		reducer: replicator.New(replicator.Config{Replica: "a", Name: "a"}, state, assert),
	}
}

// feed feeds an event, and syncs every Persist effect at once.
func (h *harness) feed(event replicator.Event) {
	for _, effect := range h.reducer.Reduce(h.now, event) {
		switch e := effect.(type) {
		case replicator.Persist:
			h.entries = append(h.entries, e.Entries...)
			h.feed(replicator.Persisted{Sequence: e.Sequence})
		case replicator.Apply:
			h.applied = e.Entries[len(e.Entries)-1].Index
		case replicator.RoleChanged:
			h.role, h.term = e.Role, e.Term
		case replicator.Rejected, replicator.Completed:
			h.answers = append(h.answers, e)
		}
	}
}

func (h *harness) envelope(from identifier.Replica, term recorder.Term) replicator.Envelope {
	return replicator.Envelope{Cluster: "x", From: from, To: "a", Term: term}
}

// lead makes the replica the leader of term 3.
func (h *harness) lead() {
	for h.role != replicator.PreCandidate {
		h.now = h.now.Add(50 * time.Millisecond)
		h.feed(replicator.Ticked{})
	}
	h.feed(replicator.Received{Message: &replicator.VoteResponse{Envelope: h.envelope("b", 3), Preliminary: true, Granted: true}})
	h.feed(replicator.Received{Message: &replicator.VoteResponse{Envelope: h.envelope("b", 3), Granted: true}})
	require.Equal(h.t, replicator.Leader, h.role)
}

func (h *harness) acknowledge(from identifier.Replica, match recorder.Index) {
	h.feed(replicator.Received{Message: &replicator.AppendResponse{Envelope: h.envelope(from, h.term), Accepted: true, Match: match}})
}

// TestOldTermIsNotCommittedAlone: an entry of an earlier term must not be committed
// only because a majority has it, since it may still be replaced. It is committed
// once a majority also has an entry of the leader's own term.
func TestOldTermIsNotCommittedAlone(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 2)
	require.Zero(t, h.applied)
	h.acknowledge("b", 3)
	require.Equal(t, recorder.Index(3), h.applied)
}

// TestChangeNeedsOwnTermCommitted: a leader must not change the membership before
// it has committed an entry of its own term. Otherwise two leaders could each
// change the membership with majorities that don't overlap.
func TestChangeNeedsOwnTermCommitted(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.feed(replicator.RemoveRequested{ID: 7, Name: "c"})
	require.Equal(t, replicator.Busy, h.answers[0].(replicator.Rejected).Reason)
	h.acknowledge("b", 3)
	h.feed(replicator.RemoveRequested{ID: 8, Name: "c"})
	require.Len(t, h.answers, 1)
	h.acknowledge("b", 4)
	require.Equal(t, replicator.Completed{ID: 8}, h.answers[1])
}

// TestRepairTakesOneStepAtATime: a learner must not become a voter before the
// removal of the member that it replaces is committed.
func TestRepairTakesOneStepAtATime(t *testing.T) {
	members := voters("a", "b", "c")
	members.Members = append(members.Members, recorder.Member{Replica: "d", Name: "c", Replaces: "c"})
	h := newHarness(t, members, asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	require.Len(t, h.entries, 1, "the learner has not answered")
	h.acknowledge("d", 0)
	require.Len(t, h.entries, 2)
	require.Equal(t, 2, h.entries[1].Membership.Voters())
	h.acknowledge("d", 4)
	require.Len(t, h.entries, 2, "the removal is not committed")
	h.acknowledge("b", 4)
	require.Len(t, h.entries, 3)
	require.Equal(t, 3, h.entries[2].Membership.Voters())
}

// TestVoteIsSyncedFirst: a vote must not be sent before the hard state that records
// it is synced.
func TestVoteIsSyncedFirst(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	request := &replicator.VoteRequest{Envelope: h.envelope("b", 5), Last: recorder.Position{Index: 2, Term: 2}}
	var last replicator.Persist
	for _, effect := range h.reducer.Reduce(h.now, replicator.Received{Message: request}) {
		_, sent := effect.(replicator.Send)
		require.False(t, sent)
		if p, ok := effect.(replicator.Persist); ok {
			last = p
		}
	}
	require.Equal(t, recorder.HardState{Cluster: "x", Term: 5, Vote: "b"}, *last.HardState)
	effects := h.reducer.Reduce(h.now, replicator.Persisted{Sequence: last.Sequence})
	require.True(t, effects[0].(replicator.Send).Message.(*replicator.VoteResponse).Granted)
}

// TestLateAnnouncementReplacesNobody: a delayed announcement of an earlier disk must
// not replace a member that still answers. An admission that has begun can be
// cancelled.
func TestLateAnnouncementReplacesNobody(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	hello := &replicator.Hello{Envelope: replicator.Envelope{From: "d"}, Name: "c"}
	effects := h.reducer.Reduce(h.now, replicator.Received{Message: hello})
	require.Equal(t, replicator.Announced{Replica: "d", Name: "c"}, effects[0])
	h.feed(replicator.AdmitRequested{ID: 1, Name: "c"})
	require.Equal(t, replicator.NotPossible, h.answers[0].(replicator.Rejected).Reason)
	h.now = h.now.Add(700 * time.Millisecond)
	h.acknowledge("b", 3)
	h.feed(replicator.Received{Message: hello})
	h.feed(replicator.AdmitRequested{ID: 2, Name: "c"})
	h.acknowledge("b", 4)
	require.Len(t, h.reducer.Status().Members, 4)
	h.now = h.now.Add(700 * time.Millisecond)
	h.acknowledge("b", 4)
	h.feed(replicator.RemoveRequested{ID: 3, Name: "c"})
	h.acknowledge("b", 5)
	require.Equal(t, replicator.Completed{ID: 3}, h.answers[2])
	require.Equal(t, *voters("a", "b", "c"), *h.entries[2].Membership)
}

// TestReadWaitsForMajority: a read must not complete before a majority has answered
// a heartbeat that was sent after the request. Otherwise a deposed leader could
// serve a stale read.
func TestReadWaitsForMajority(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	h.feed(replicator.ReadRequested{ID: 5})
	require.Empty(t, h.answers)
	h.acknowledge("b", 3)
	require.Empty(t, h.answers, "an answer to an earlier round")
	answer := &replicator.AppendResponse{Envelope: h.envelope("c", h.term), Accepted: true, Round: 1}
	h.feed(replicator.Received{Message: answer})
	require.Equal(t, []replicator.Effect{replicator.Completed{ID: 5}}, h.answers)
	h.feed(replicator.ReadRequested{ID: 6})
	h.feed(replicator.Received{Message: answer})
	require.Len(t, h.answers, 1, "an answer to an earlier round")
}

// TestLeaderWithHungDiskStepsDown: a leader whose disk hangs must step down. The
// other voters could still commit entries, but the writes that wait for the
// leader's disk would accumulate.
func TestLeaderWithHungDiskStepsDown(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	h.reducer.Reduce(h.now, replicator.Proposed{Proposals: []replicator.Proposal{{ID: 1}}})
	for range 100 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.acknowledge("b", 4)
		h.feed(replicator.Ticked{})
	}
	require.Equal(t, replicator.Follower, h.role)
}

// TestOtherClusterIsIgnored: a replica that holds entries of one cluster must not
// join another.
func TestOtherClusterIsIgnored(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	foreign := h.envelope("b", 9)
	foreign.Cluster = "y"
	h.feed(replicator.Received{Message: &replicator.AppendRequest{Envelope: foreign}})
	require.Equal(t, recorder.Term(2), h.reducer.Status().Term)
	require.Equal(t, recorder.Cluster("x"), h.reducer.Status().Cluster)
}

// TestSnapshotOfHeldEntry: a snapshot of an entry that the log already has must
// commit the entry and must not replace the log.
func TestSnapshotOfHeldEntry(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	held := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	held.lead()
	third := held.entries[0]
	h.feed(replicator.Received{Message: &replicator.AppendRequest{
		Envelope: h.envelope("b", 3), Previous: recorder.Position{Index: 2, Term: 2, Chain: held.command.Chain},
		Entries: []recorder.Entry{third},
	}})
	h.feed(replicator.Received{Message: &replicator.SnapshotRequest{
		Envelope: h.envelope("b", 3), Position: held.command.Position(), Membership: *voters("a", "b", "c"),
		Checksum: xxhash.Sum64(nil),
	}})
	require.Equal(t, recorder.Index(2), h.applied)
	require.Equal(t, recorder.Index(3), h.reducer.Status().Last)
}

// TestSnapshotInChunks: chunks out of order, or of a snapshot that does not match
// its checksum, must not be installed.
func TestSnapshotInChunks(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	chunk := func(offset, total int, data string) {
		h.feed(replicator.Received{Message: &replicator.SnapshotRequest{
			Envelope:   h.envelope("b", 3),
			Position:   recorder.Position{Index: 20, Term: 3, Chain: 1},
			Membership: *voters("a", "b", "c"),
			Offset:     identifier.ByteCount(offset),
			Total:      identifier.ByteCount(total),
			Checksum:   xxhash.Sum64String("a"),
			Data:       []byte(data),
		}})
	}
	chunk(1, 2, "b")
	chunk(0, 2, "x")
	chunk(1, 2, "y")
	require.Equal(t, recorder.Index(2), h.reducer.Status().Last)
	chunk(0, 1, "a")
	require.Equal(t, recorder.Index(20), h.reducer.Status().Commit)
}
