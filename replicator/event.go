package replicator

import (
	"net/netip"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// RequestID links an answer of the replicator to the request of its caller.
type RequestID uint64

// Sequence numbers the Persist effects of a replicator, starting at 1.
type Sequence uint64

// Round numbers the rounds of heartbeats by which the leader of a term confirms
// reads. It is 0 before the first read.
type Round uint64

// Event is an input of Reduce.
type Event interface{ event() }

// Ticked reports that time has passed. The caller feeds it several times in each
// heartbeat interval.
type Ticked struct {
	// Jitter is a random number in [0, 1) that spreads election timeouts.
	Jitter float64
}

// Received carries a message from another replica.
type Received struct {
	Message Message
}

// Persisted reports that every Persist effect up to Sequence is synced.
type Persisted struct {
	Sequence Sequence
}

// Proposal is a command to append to the log.
type Proposal struct {
	ID   RequestID
	Data []byte
}

// Proposed carries commands to append to the log. Each is answered by Accepted or
// Rejected.
type Proposed struct {
	Proposals []Proposal
}

// Withdrawn reports that nobody waits for the answer to a proposal any more. It is dropped if it has not
// been accepted yet.
type Withdrawn struct {
	ID RequestID
}

// ReadRequested asks for Completed once the applied state includes everything that
// was committed before the request.
type ReadRequested struct {
	ID RequestID
}

// SnapshotTaken reports that the caller has saved a snapshot of the applied state.
type SnapshotTaken struct {
	Snapshot recorder.Snapshot
}

// StateCaptured answers CaptureState with a snapshot of the applied state, which need not be saved.
type StateCaptured struct {
	Snapshot recorder.Snapshot
}

// AdmitRequested asks the leader to add the new replica that announced itself
// under Name to the membership, as a learner first. An older member of that name
// is removed once the new one has caught up. With Standby, the new replica remains
// a learner until a ReplaceRequested names it.
type AdmitRequested struct {
	ID      RequestID
	Name    string
	Standby bool
}

// ReplaceRequested asks the leader to make the standby a voter in the place of Voter. If
// Voter is empty, the standby becomes a further voter.
type ReplaceRequested struct {
	ID      RequestID
	Voter   identifier.Replica
	Standby identifier.Replica
}

// LeaveAnnounced reports that this replica is about to stop. The leader learns it from
// the replica's answers and shows it as MemberStatus.Leaving.
type LeaveAnnounced struct{}

// ContactsChanged sets the addresses at which an empty replica announces itself in
// addition to the founders. They play no part in bootstrapping a cluster.
type ContactsChanged struct {
	Addrs []netip.AddrPort
}

// RemoveRequested asks the leader to remove the member of that name. If a learner
// has the name, only the learner is removed, which cancels its admission.
type RemoveRequested struct {
	ID   RequestID
	Name string
}

// TransferRequested asks the leader to transfer the leadership to the voter whose
// log is the furthest among those that answer.
type TransferRequested struct {
	ID RequestID
}

func (Ticked) event()            {}
func (Received) event()          {}
func (Persisted) event()         {}
func (Proposed) event()          {}
func (Withdrawn) event()         {}
func (ReadRequested) event()     {}
func (SnapshotTaken) event()     {}
func (StateCaptured) event()     {}
func (AdmitRequested) event()    {}
func (RemoveRequested) event()   {}
func (ReplaceRequested) event()  {}
func (LeaveAnnounced) event()    {}
func (ContactsChanged) event()   {}
func (TransferRequested) event() {}

// replica is the identity of a replica, which is that of its disk.
type replica = identifier.Replica
