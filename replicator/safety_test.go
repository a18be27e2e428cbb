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

// lone is one reducer whose peers are played by the test.
type lone struct {
	t       *testing.T
	reducer *replicator.Replicator
	now     time.Time
	term    recorder.Term
	role    replicator.Role
	applied recorder.Index
	answers []replicator.Effect
	// entries are all that the reducer asked to persist.
	entries []recorder.Entry
	// second is the command in the log.
	second recorder.Entry
}

func voters(names ...identifier.Replica) *recorder.Membership {
	m := &recorder.Membership{}
	for _, name := range names {
		m.Members = append(m.Members, recorder.Member{Replica: name, Name: string(name), Voter: true})
	}
	return m
}

func first(members *recorder.Membership) recorder.Entry {
	e := recorder.Entry{Index: 1, Term: 1, Kind: recorder.MembershipChange, Membership: members}
	e.Chain = e.ChainAfter(0)
	return e
}

func second(members *recorder.Membership) recorder.Entry {
	e := recorder.Entry{Index: 2, Term: 2, Data: []byte("command")}
	e.Chain = e.ChainAfter(first(members).Chain)
	return e
}

// newLone returns replica "a" with a snapshot of the membership and one command
// of term 2 in its log, which is not known to be committed.
func newLone(t *testing.T, members *recorder.Membership, assert asserter.Asserter) *lone {
	first, second := first(members), second(members)
	state := recorder.State{
		HardState: recorder.HardState{Cluster: "x", Term: 2},
		Snapshot:  &recorder.Snapshot{Position: first.Position(), Membership: *members},
		Entries:   []recorder.Entry{second},
	}
	return &lone{
		t: t, second: second, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		reducer: replicator.New(replicator.Config{Replica: "a", Name: "a"}, state, assert),
	}
}

// feed takes in an event and syncs at once.
func (l *lone) feed(event replicator.Event) {
	for _, effect := range l.reducer.Reduce(l.now, event) {
		switch e := effect.(type) {
		case replicator.Persist:
			l.entries = append(l.entries, e.Entries...)
			l.feed(replicator.Persisted{Sequence: e.Sequence})
		case replicator.Apply:
			l.applied = e.Entries[len(e.Entries)-1].Index
		case replicator.RoleChanged:
			l.role, l.term = e.Role, e.Term
		case replicator.Rejected, replicator.Completed:
			l.answers = append(l.answers, e)
		}
	}
}

func (l *lone) envelope(from identifier.Replica, term recorder.Term) replicator.Envelope {
	return replicator.Envelope{Cluster: "x", From: from, To: "a", Term: term}
}

// lead makes the replica the leader of term 3.
func (l *lone) lead() {
	for l.role != replicator.PreCandidate {
		l.now = l.now.Add(50 * time.Millisecond)
		l.feed(replicator.Ticked{})
	}
	l.feed(replicator.Received{Message: &replicator.VoteResponse{Envelope: l.envelope("b", 3), Preliminary: true, Granted: true}})
	l.feed(replicator.Received{Message: &replicator.VoteResponse{Envelope: l.envelope("b", 3), Granted: true}})
	require.Equal(l.t, replicator.Leader, l.role)
}

func (l *lone) confirm(from identifier.Replica, match recorder.Index) {
	l.feed(replicator.Received{Message: &replicator.AppendResponse{Envelope: l.envelope(from, l.term), Accepted: true, Match: match}})
}

// TestOldTermIsNotCommittedAlone: an entry of an earlier term on a majority may
// still be replaced, until one of the leader's own term is on a majority too.
func TestOldTermIsNotCommittedAlone(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	l.lead()
	l.confirm("b", 2)
	require.Zero(t, l.applied)
	l.confirm("b", 3)
	require.Equal(t, recorder.Index(3), l.applied)
}

// TestChangeNeedsOwnTermCommitted: before that, two leaders could each change
// the membership, with majorities that don't overlap.
func TestChangeNeedsOwnTermCommitted(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	l.lead()
	l.feed(replicator.RemoveRequested{ID: 7, Name: "c"})
	require.Equal(t, replicator.Busy, l.answers[0].(replicator.Rejected).Reason)
	l.confirm("b", 3)
	l.feed(replicator.RemoveRequested{ID: 8, Name: "c"})
	require.Len(t, l.answers, 1)
	l.confirm("b", 4)
	require.Equal(t, replicator.Completed{ID: 8}, l.answers[1])
}

// TestRepairTakesOneStepAtATime: the learner votes only after the removal of
// the member that it replaces is committed.
func TestRepairTakesOneStepAtATime(t *testing.T) {
	members := voters("a", "b", "c")
	members.Members = append(members.Members, recorder.Member{Replica: "d", Name: "c", Replaces: "c"})
	l := newLone(t, members, asserter.Strict{})
	l.lead()
	l.confirm("b", 3)
	l.confirm("d", 2)
	require.Len(t, l.entries, 1, "the learner is behind")
	l.confirm("d", 3)
	require.Len(t, l.entries, 2)
	require.Equal(t, 2, l.entries[1].Membership.Voters())
	l.confirm("d", 4)
	require.Len(t, l.entries, 2, "the removal is not committed")
	l.confirm("b", 4)
	require.Len(t, l.entries, 3)
	require.Equal(t, 3, l.entries[2].Membership.Voters())
}

// TestVoteIsSyncedFirst: a vote leaves only after the hard state with it is synced.
func TestVoteIsSyncedFirst(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	request := &replicator.VoteRequest{Envelope: l.envelope("b", 5), Last: recorder.Position{Index: 2, Term: 2}}
	var last replicator.Persist
	for _, effect := range l.reducer.Reduce(l.now, replicator.Received{Message: request}) {
		_, sent := effect.(replicator.Send)
		require.False(t, sent)
		if p, ok := effect.(replicator.Persist); ok {
			last = p
		}
	}
	require.Equal(t, recorder.HardState{Cluster: "x", Term: 5, Vote: "b"}, *last.HardState)
	effects := l.reducer.Reduce(l.now, replicator.Persisted{Sequence: last.Sequence})
	require.True(t, effects[0].(replicator.Send).Message.(*replicator.VoteResponse).Granted)
}

// TestLateAnnouncementReplacesNobody: a member that answers is not replaced by
// what an earlier disk announced, and an admission can be taken back.
func TestLateAnnouncementReplacesNobody(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	l.lead()
	l.confirm("b", 3)
	hello := &replicator.Hello{Envelope: replicator.Envelope{From: "d"}, Name: "c"}
	effects := l.reducer.Reduce(l.now, replicator.Received{Message: hello})
	require.Equal(t, replicator.Announced{Replica: "d", Name: "c"}, effects[0])
	l.feed(replicator.AdmitRequested{ID: 1, Name: "c"})
	require.Equal(t, replicator.NotPossible, l.answers[0].(replicator.Rejected).Reason)
	l.now = l.now.Add(700 * time.Millisecond)
	l.confirm("b", 3)
	l.feed(replicator.Received{Message: hello})
	l.feed(replicator.AdmitRequested{ID: 2, Name: "c"})
	l.confirm("b", 4)
	require.Len(t, l.reducer.Status().Members, 4)
	l.now = l.now.Add(700 * time.Millisecond)
	l.confirm("b", 4)
	l.feed(replicator.RemoveRequested{ID: 3, Name: "c"})
	l.confirm("b", 5)
	require.Equal(t, replicator.Completed{ID: 3}, l.answers[2])
	require.Equal(t, *voters("a", "b", "c"), *l.entries[2].Membership)
}

// TestReadWaitsForMajority: an old leader that nobody answers serves no read.
func TestReadWaitsForMajority(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	l.lead()
	l.confirm("b", 3)
	l.feed(replicator.ReadRequested{ID: 5})
	require.Empty(t, l.answers)
	l.confirm("b", 3)
	require.Empty(t, l.answers, "an answer to an earlier round")
	answer := &replicator.AppendResponse{Envelope: l.envelope("c", l.term), Accepted: true, Round: 1}
	l.feed(replicator.Received{Message: answer})
	require.Equal(t, []replicator.Effect{replicator.Completed{ID: 5}}, l.answers)
	l.feed(replicator.ReadRequested{ID: 6})
	l.feed(replicator.Received{Message: answer})
	require.Len(t, l.answers, 1, "an answer to an earlier round")
}

// TestLeaderWithHungDiskStepsDown: the majority could go on, but what waits for
// the leader's disk would pile up.
func TestLeaderWithHungDiskStepsDown(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	l.lead()
	l.confirm("b", 3)
	l.reducer.Reduce(l.now, replicator.Proposed{Proposals: []replicator.Proposal{{ID: 1}}})
	for range 100 {
		l.now = l.now.Add(50 * time.Millisecond)
		l.confirm("b", 4)
		l.feed(replicator.Ticked{})
	}
	require.Equal(t, replicator.Follower, l.role)
}

// TestOtherClusterIsIgnored: whoever holds entries of one cluster joins no other.
func TestOtherClusterIsIgnored(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	foreign := l.envelope("b", 9)
	foreign.Cluster = "y"
	l.feed(replicator.Received{Message: &replicator.AppendRequest{Envelope: foreign}})
	require.Equal(t, recorder.Term(2), l.reducer.Status().Term)
	require.Equal(t, recorder.Cluster("x"), l.reducer.Status().Cluster)
}

// TestSnapshotOfHeldEntry: a snapshot of an entry that the log holds commits it
// and replaces nothing.
func TestSnapshotOfHeldEntry(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	held := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	held.lead()
	third := held.entries[0]
	l.feed(replicator.Received{Message: &replicator.AppendRequest{
		Envelope: l.envelope("b", 3), Previous: recorder.Position{Index: 2, Term: 2, Chain: held.second.Chain},
		Entries: []recorder.Entry{third},
	}})
	l.feed(replicator.Received{Message: &replicator.SnapshotRequest{
		Envelope: l.envelope("b", 3), Position: held.second.Position(), Membership: *voters("a", "b", "c"),
		Checksum: xxhash.Sum64(nil),
	}})
	require.Equal(t, recorder.Index(2), l.applied)
	require.Equal(t, recorder.Index(3), l.reducer.Status().Last)
}

// TestSnapshotInChunks: chunks out of order or of a damaged snapshot install nothing.
func TestSnapshotInChunks(t *testing.T) {
	l := newLone(t, voters("a", "b", "c"), asserter.Strict{})
	chunk := func(offset, total int, data string) {
		l.feed(replicator.Received{Message: &replicator.SnapshotRequest{
			Envelope:   l.envelope("b", 3),
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
	require.Equal(t, recorder.Index(2), l.reducer.Status().Last)
	chunk(0, 1, "a")
	require.Equal(t, recorder.Index(20), l.reducer.Status().Commit)
}
