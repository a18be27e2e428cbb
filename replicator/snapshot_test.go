package replicator_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/repairer"
	"celeryvalve/replicator"
)

// TestStateContainsTheMembershipOfItsReceiver: a state that was captured for one member must not be sent to
// another whose admission was committed only after that. It guards against a voter that does not know that it
// is one, and empties its disk because of an old list of members.
func TestStateContainsTheMembershipOfItsReceiver(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	hello := func(from identifier.Replica, name string) {
		h.feed(replicator.Received{Message: &replicator.Hello{Envelope: replicator.Envelope{From: from}, Name: name}})
	}
	refuse := func(from identifier.Replica, previous recorder.Index) []replicator.Effect {
		effects := h.reducer.Reduce(h.now, replicator.Received{Message: &replicator.AppendResponse{
			Envelope: h.envelope(from, h.term), Refused: previous, Number: 1,
		}})
		for _, effect := range effects {
			if p, ok := effect.(replicator.Persist); ok {
				h.entries = append(h.entries, p.Entries...)
				h.feed(replicator.Persisted{Sequence: p.Sequence})
			}
		}
		return effects
	}
	hello("s", "s")
	h.feed(replicator.AdmitRequested{ID: 1, Name: "s", Standby: true})
	h.acknowledge("b", 4)
	captured := recorder.Snapshot{Position: h.entries[1].Position(), At: h.now, Membership: *h.entries[1].Membership, Data: []byte("state")}

	h.now = h.now.Add(700 * time.Millisecond) // c is silent
	h.acknowledge("b", 4)
	hello("n", "c")
	h.feed(replicator.AdmitRequested{ID: 2, Name: "c"})
	require.Contains(t, refuse("s", 4), replicator.Effect(replicator.CaptureState{}))

	// These are queued while the state is encoded.
	h.acknowledge("b", 5)
	refuse("n", 5)

	var received *replicator.SnapshotRequest
	for _, effect := range h.reducer.Reduce(h.now, replicator.StateCaptured{Snapshot: captured}) {
		if send, ok := effect.(replicator.Send); ok {
			if m, ok := send.Message.(*replicator.SnapshotRequest); ok && m.To == "n" {
				received = m
			}
		}
	}
	h.acknowledge("b", 6)
	h.acknowledge("b", 7)
	require.Equal(t, recorder.Index(7), h.applied)
	vote, _ := h.entries[4].Membership.Find("n")
	require.True(t, vote.Voter, "n votes")
	if received == nil {
		return // n waits for a later state
	}

	// The leader is lost now. The newest list that n has is that of the standby's admission.
	n := replicator.New(replicator.Config{Replica: "n", Name: "c"}, recorder.State{}, asserter.Strict{})
	n.Reduce(h.now, replicator.Received{Message: received})
	exclusion := repairer.NewExclusion(repairer.NewConfig(1, 4*time.Second))
	list := repairer.CommittedMembership{Index: 4, Replicas: []identifier.Replica{"a", "b", "c", "s"}}
	status := n.Status()
	status.LeaderAddr = netip.AddrPort{}
	exclusion.Observe(h.now, status, list)
	require.False(t, exclusion.Observe(h.now.Add(time.Second), status, list), "a voter empties its disk: %+v", status)
	_, ok := received.Membership.Find("n")
	require.True(t, ok, "n's state lacks its membership")
}

// TestUnsyncedStateIsNotAcknowledged: while a state is being written, the disk still holds the old log, whose
// last entries may differ from the leader's. An answer to a heartbeat must not acknowledge them.
func TestUnsyncedStateIsNotAcknowledged(t *testing.T) {
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	at := recorder.Position{Index: 20, Term: 3, Chain: 1}
	for _, effect := range h.reducer.Reduce(h.now, replicator.Received{Message: &replicator.SnapshotRequest{
		Envelope: h.envelope("b", 3), Position: at, Membership: *voters("a", "b", "c"), Checksum: xxhash.Sum64(nil),
	}}) {
		if p, ok := effect.(replicator.Persist); ok && p.Install == nil {
			h.feed(replicator.Persisted{Sequence: p.Sequence}) // the term
		}
	}
	require.Equal(t, recorder.Index(20), h.reducer.Status().Last)
	for _, effect := range h.reducer.Reduce(h.now, replicator.Received{Message: &replicator.AppendRequest{Envelope: h.envelope("b", 3), Previous: at}}) {
		if s, ok := effect.(replicator.Send); ok {
			require.LessOrEqual(t, s.Message.(*replicator.AppendResponse).Match, recorder.Index(1), "entry 2 on the disk was never compared with the leader's")
		}
	}
}

// TestStalledDiskDelaysNoCommit: a follower whose disk stands still must apply what the leader has committed without
// it. It guards against a replica that shows an old configuration until its disk goes on.
func TestStalledDiskDelaysNoCommit(t *testing.T) {
	members := voters("a", "b", "c")
	h := newHarness(t, members, asserter.Strict{})
	e := recorder.Entry{Index: 3, Term: 3, Data: []byte("change")}
	e.Chain = e.ChainAfter(h.command.Chain)
	var applied recorder.Index
	for _, m := range []*replicator.AppendRequest{
		{Envelope: h.envelope("b", 3), Previous: second(members).Position(), Entries: []recorder.Entry{e}},
		{Envelope: h.envelope("b", 3), Previous: first(members).Position(), Commit: 3},
	} {
		for _, effect := range h.reducer.Reduce(h.now, replicator.Received{Message: m}) {
			if a, ok := effect.(replicator.Apply); ok {
				applied = a.Entries[len(a.Entries)-1].Index
			}
		}
	}
	require.Equal(t, recorder.Index(3), applied)
}
