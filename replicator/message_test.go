package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/encoder"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// FuzzReceive feeds any decodable message to a leader and to a follower. They
// may halt on a broken invariant, but must not panic.
func FuzzReceive(f *testing.F) {
	codec, err := encoder.New(replicator.Messages()...)
	require.NoError(f, err)
	env := replicator.Envelope{Cluster: "x", From: "b", To: "a", Term: 3}
	position := second(voters("a", "b", "c")).Position()
	noMembership := recorder.Entry{Index: 3, Term: 3, Kind: recorder.MembershipChange}
	noMembership.Chain = noMembership.ChainAfter(position.Chain)
	for _, m := range []replicator.Message{
		&replicator.Hello{Envelope: env, Name: "b"},
		&replicator.HelloResponse{Envelope: env, Name: "b", Empty: true},
		&replicator.VoteRequest{Envelope: env, Last: position},
		&replicator.VoteResponse{Envelope: env, Granted: true},
		&replicator.AppendRequest{Envelope: env, Previous: position, Entries: []recorder.Entry{noMembership}},
		&replicator.AppendRequest{Envelope: env, Entries: []recorder.Entry{{Index: 9}}, Commit: 90},
		&replicator.AppendResponse{Envelope: env, Accepted: true, Match: 90},
		&replicator.AppendResponse{Envelope: env, Refused: 3, Hint: 1 << 60},
		&replicator.SnapshotRequest{Envelope: env, Position: position, Offset: -1, Total: -1},
		&replicator.SnapshotResponse{Envelope: env, Index: 2, Offset: -1},
		&replicator.TimeoutNow{Envelope: env},
	} {
		data, err := codec.Encode(0, m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, msg, err := codec.Decode(data)
		if err != nil {
			return
		}
		for _, isLeader := range []bool{false, true} {
			h := newHarness(t, voters("a", "b", "c"), asserter.Reporting{Report: func(asserter.Invariant, string) {}})
			if isLeader {
				h.lead()
			}
			h.feed(replicator.Received{Message: msg.(replicator.Message)})
			h.now = h.now.Add(time.Second)
			h.feed(replicator.Ticked{})
		}
	})
}
