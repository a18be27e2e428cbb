package replicator

import (
	"net/netip"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Effect is an action that the caller of Reduce carries out, in the order
// returned.
type Effect interface{ effect() }

// Persist asks the caller to write its fields to the disk after those of every
// earlier Persist, to sync them, and then to feed Persisted.
type Persist struct {
	Sequence  Sequence
	HardState *recorder.HardState
	Entries   []recorder.Entry
	// Install is a snapshot that replaces the whole log.
	Install *recorder.Snapshot
	// Committed is the index up to which the log is committed, as far as this replica knows.
	Committed recorder.Index
}

// Send asks the caller to send a message. The message may be lost.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Apply asks the caller to apply committed entries. Each entry comes once and in
// order of its index.
type Apply struct {
	Entries []recorder.Entry
}

// Restore asks the caller to replace the applied state with the snapshot.
type Restore struct {
	Snapshot recorder.Snapshot
}

// CaptureState asks the caller for a snapshot of the state after the last entry that it was asked to
// apply, to be sent to members that lack it. The caller feeds StateCaptured.
type CaptureState struct{}

// Accepted reports which entry a proposal became. The entry is not committed yet.
type Accepted struct {
	ID    RequestID
	Index recorder.Index
	Term  recorder.Term
}

// Completed reports that a read may proceed, or that a membership change or a
// leadership transfer is done.
type Completed struct {
	ID RequestID
}

// Reason is why a request was rejected.
type Reason string

// The reasons of a rejection.
const (
	// NotLeader: this replica does not lead and did nothing. Rejected.Leader is the
	// replica to ask, if it is known.
	NotLeader Reason = "NotLeader"
	// LeadershipLost: the replica lost its leadership while it carried out the
	// request, and the outcome is not known.
	LeadershipLost Reason = "LeadershipLost"
	// Busy: nothing was done, because another operation must end first.
	Busy Reason = "Busy"
	// NotPossible: the request can't be carried out. Rejected.Detail gives the
	// reason.
	NotPossible Reason = "NotPossible"
)

// Rejected reports that a request was not carried out, or that its outcome is not
// known.
type Rejected struct {
	ID     RequestID
	Reason Reason
	Detail string
	// Leader is the address of the leader, if it is another replica and known.
	Leader netip.AddrPort
}

// RoleChanged reports that the role, the term or the known leader changed.
type RoleChanged struct {
	Role Role
	Term recorder.Term
	// Leader is the address of the leader, if it is known.
	Leader netip.AddrPort
}

// Announced reports a new replica that waits to be admitted. Every replica with
// entries emits it, on the first Hello of the new replica.
type Announced struct {
	Replica identifier.Replica
	Name    string
	Addr    netip.AddrPort
}

// Halted reports that an invariant does not hold. The replicator ignores every
// later event.
type Halted struct {
	Detail string
}

func (Persist) effect()      {}
func (Send) effect()         {}
func (Apply) effect()        {}
func (Restore) effect()      {}
func (CaptureState) effect() {}
func (Accepted) effect()     {}
func (Completed) effect()    {}
func (Rejected) effect()     {}
func (RoleChanged) effect()  {}
func (Announced) effect()    {}
func (Halted) effect()       {}
