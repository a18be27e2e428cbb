package replicator

import (
	"net/netip"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// RequestID ties the answers of a replicator to the requests of its shell.
type RequestID uint64

// Sequence numbers the Persist effects of a replicator. It rises by one.
type Sequence uint64

// Round numbers the rounds of heartbeats of one term.
type Round uint64

// Event is something that a replicator takes in.
type Event interface{ event() }

// Ticked comes several times in each heartbeat interval.
type Ticked struct {
	// Jitter is a random number in [0, 1) that spreads election timeouts.
	Jitter float64
}

// Received brings one message of another replica.
type Received struct {
	Message Message
}

// Persisted tells that every Persist effect up to Sequence is synced.
type Persisted struct {
	Sequence Sequence
}

// Proposal is one command for the log.
type Proposal struct {
	ID   RequestID
	Data []byte
}

// Proposed brings commands. Each is answered by Accepted or Rejected.
type Proposed struct {
	Proposals []Proposal
}

// ReadRequested asks for Completed once a read of the applied state can miss
// nothing that was committed before the request.
type ReadRequested struct {
	ID RequestID
}

// SnapshotTaken tells that the shell has saved a snapshot of applied entries.
type SnapshotTaken struct {
	Snapshot recorder.Snapshot
}

// AdmitRequested asks to make the new replica that announced itself under Name
// a member. An older member of that name leaves once the new one is caught up.
type AdmitRequested struct {
	ID   RequestID
	Name string
}

// ContactsChanged gives further addresses at which an empty replica announces
// itself. They found no cluster.
type ContactsChanged struct {
	Addrs []netip.AddrPort
}

// RemoveRequested asks to remove the member of that name, or to take back its
// admission while it is a learner.
type RemoveRequested struct {
	ID   RequestID
	Name string
}

// TransferRequested asks the leader to hand over to the follower that is least behind.
type TransferRequested struct {
	ID RequestID
}

func (Ticked) event()            {}
func (Received) event()          {}
func (Persisted) event()         {}
func (Proposed) event()          {}
func (ReadRequested) event()     {}
func (SnapshotTaken) event()     {}
func (AdmitRequested) event()    {}
func (RemoveRequested) event()   {}
func (ContactsChanged) event()   {}
func (TransferRequested) event() {}

type replica = identifier.Replica
