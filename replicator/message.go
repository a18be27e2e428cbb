package replicator

import (
	"net/netip"
	"time"

	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Envelope is what every message between replicas begins with. A receiver
// refuses a message for another identity than its own: the address of a lost
// disk may be in use by its replacement.
type Envelope struct {
	Cluster recorder.Cluster
	From    identifier.Replica
	// Addr is where the sender takes messages.
	Addr netip.AddrPort
	To   identifier.Replica
	Term recorder.Term
}

// Hello announces a replica that belongs to no cluster yet.
type Hello struct {
	Envelope
	Name string
}

// HelloResponse tells a new replica who answers at an address.
type HelloResponse struct {
	Envelope
	Name string
	// Empty reports that the answering replica has no entry of any cluster.
	Empty bool
}

// VoteRequest asks for a vote, or whether a vote would be granted.
type VoteRequest struct {
	Envelope
	// Preliminary requests change nothing at the receiver.
	Preliminary bool
	// Transfer is set where the leader itself asked for the election.
	Transfer bool
	Last     recorder.Position
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Envelope
	Preliminary bool
	Granted     bool
}

// AppendRequest carries entries, the commit index and a round of heartbeats.
type AppendRequest struct {
	Envelope
	Previous recorder.Position
	Entries  []recorder.Entry
	Commit   recorder.Index
	Round    Round
}

// AppendResponse answers an AppendRequest once its entries are synced.
type AppendResponse struct {
	Envelope
	Accepted bool
	// Match is the last index known to equal the leader's log, when accepted.
	Match recorder.Index
	// Refused is the previous index of a request that was not accepted.
	Refused recorder.Index
	// Hint is where the leader tries next after a refusal.
	Hint  recorder.Index
	Round Round
}

// SnapshotRequest carries one chunk of a snapshot.
type SnapshotRequest struct {
	Envelope
	Position   recorder.Position
	At         time.Time
	Membership recorder.Membership
	Offset     identifier.ByteCount
	Total      identifier.ByteCount
	Checksum   uint64
	Data       []byte
	Round      Round
}

// SnapshotResponse tells how much of a snapshot has arrived.
type SnapshotResponse struct {
	Envelope
	Index recorder.Index
	// Offset is the first byte that is still missing.
	Offset identifier.ByteCount
	// Installed reports that the whole snapshot is synced.
	Installed bool
	Round     Round
}

// TimeoutNow asks a follower that has every entry to stand for election at once.
type TimeoutNow struct {
	Envelope
}

// Message is one of the messages between replicas.
type Message interface {
	envelope() *Envelope
}

func (e *Envelope) envelope() *Envelope { return e }

// wellFormed reports whether the fields of a decoded message can be used. A
// replica of another release may send what this one never would.
func wellFormed(message Message) bool {
	switch m := message.(type) {
	case *AppendRequest:
		return followEachOther(m.Previous.Index, m.Entries)
	case *SnapshotRequest:
		return m.Offset >= 0 && m.Total >= 0 && m.Position.Index > 0
	case *SnapshotResponse:
		return m.Offset >= 0
	default:
		return true
	}
}

func followEachOther(previous recorder.Index, entries []recorder.Entry) bool {
	for _, e := range entries {
		if e.Index != previous+1 || e.Kind == recorder.MembershipChange && e.Membership == nil {
			return false
		}
		previous = e.Index
	}
	return true
}

// Messages returns the codec's entries of the messages.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[Hello]("ReplicaHello"),
		encoder.Message[HelloResponse]("ReplicaHelloResponse"),
		encoder.Message[VoteRequest]("VoteRequest"),
		encoder.Message[VoteResponse]("VoteResponse"),
		encoder.Message[AppendRequest]("AppendRequest"),
		encoder.Message[AppendResponse]("AppendResponse"),
		encoder.Message[SnapshotRequest]("SnapshotRequest"),
		encoder.Message[SnapshotResponse]("SnapshotResponse"),
		encoder.Message[TimeoutNow]("TimeoutNow"),
	}
}
