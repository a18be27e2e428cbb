package replicator

import (
	"net/netip"
	"time"

	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Envelope is the header of every message between replicas. A receiver drops a
// message whose To is not its own identity, because a replacement may use the
// address of the replica that lost its disk. Only Hello has no To.
type Envelope struct {
	Cluster recorder.Cluster
	From    identifier.Replica
	// Addr is the address at which the sender receives messages.
	Addr netip.AddrPort
	To   identifier.Replica
	Term recorder.Term
}

// Hello announces a replica that has no entry of any cluster.
type Hello struct {
	Envelope
	Name string
	// Founders are those that the sender bootstraps the cluster with, if it is one of them.
	Founders []recorder.Founder `cbor:",omitempty"`
}

// HelloResponse answers a Hello with the name and the identity of the replica at
// that address.
type HelloResponse struct {
	Envelope
	Name string
	// Empty reports that the answering replica has no entry of any cluster.
	Empty bool
}

// VoteRequest asks for a vote or, as a pre-vote, whether a vote would be granted.
type VoteRequest struct {
	Envelope
	// Preliminary marks a pre-vote, which changes no state of the receiver.
	Preliminary bool
	// Transfer is set if the leader asked for the election with TimeoutNow.
	Transfer bool
	Last     recorder.Position
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Envelope
	Preliminary bool
	Granted     bool
}

// AppendRequest carries entries, the leader's commit index and its heartbeat
// round. Without entries it is a heartbeat.
type AppendRequest struct {
	Envelope
	Previous recorder.Position
	Entries  []recorder.Entry
	Commit   recorder.Index
	Round    Round
	// Number counts the append requests of a leader to this member.
	Number uint64 `cbor:",omitempty"`
	// Silences lists, in a heartbeat, the members that have not answered the leader lately.
	Silences []Silence `cbor:",omitempty"`
}

// Silence is how long the leader has heard nothing from a member.
type Silence struct {
	Replica  identifier.Replica
	Duration time.Duration
}

// AppendResponse answers an AppendRequest once its entries are synced.
type AppendResponse struct {
	Envelope
	Accepted bool
	// Match is the last index up to which the synced log is known to equal the
	// leader's, if Accepted is set.
	Match recorder.Index
	// Refused is the previous index of the request, if Accepted is not set.
	Refused recorder.Index
	// Hint is the index that the leader should try next as the previous one, if
	// Accepted is not set.
	Hint  recorder.Index
	Round Round
	// Received is the last index up to which the sender's log, synced or not, is known to equal the
	// leader's.
	Received recorder.Index `cbor:",omitempty"`
	// Number is that of the request.
	Number uint64 `cbor:",omitempty"`
	// Leaving reports that the sender is about to stop.
	Leaving bool `cbor:",omitempty"`
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

// SnapshotResponse reports how much of a snapshot has arrived.
type SnapshotResponse struct {
	Envelope
	Index recorder.Index
	// Offset is the number of bytes received, and so the offset of the next chunk.
	Offset identifier.ByteCount
	// Installed reports that the whole snapshot is synced.
	Installed bool
	Round     Round
}

// TimeoutNow asks a follower that has every entry to campaign at once.
type TimeoutNow struct {
	Envelope
}

// Message is a message between replicas: a pointer to one of the types that
// Messages lists.
type Message interface {
	envelope() *Envelope
}

func (e *Envelope) envelope() *Envelope { return e }

// wellFormed reports whether the fields of a decoded message are usable. A
// replica of another release may send values that this release never sends.
func wellFormed(message Message) bool {
	switch m := message.(type) {
	case *AppendRequest:
		return contiguous(m.Previous.Index, m.Entries)
	case *SnapshotRequest:
		return m.Offset >= 0 && m.Total >= 0 && m.Position.Index > 0
	case *SnapshotResponse:
		return m.Offset >= 0
	default:
		return true
	}
}

// contiguous reports whether the entries follow the previous index without a gap,
// and every membership change among them has a membership.
func contiguous(previous recorder.Index, entries []recorder.Entry) bool {
	for _, e := range entries {
		if e.Index != previous+1 || e.Kind == recorder.MembershipChange && e.Membership == nil {
			return false
		}
		previous = e.Index
	}
	return true
}

// Messages returns the codec entries of all messages between replicas.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
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
