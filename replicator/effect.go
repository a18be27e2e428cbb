package replicator

import (
	"net/netip"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Effect is something that the shell carries out, in the order given.
type Effect interface{ effect() }

// Persist asks to sync what it holds, after every Persist before it, and to
// answer with Persisted.
type Persist struct {
	Sequence  Sequence
	HardState *recorder.HardState
	Entries   []recorder.Entry
	// Install is a snapshot that takes the place of the whole log.
	Install *recorder.Snapshot
}

// Send asks to send a message. It may be lost.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Apply brings committed entries, each once and in order.
type Apply struct {
	Entries []recorder.Entry
}

// Restore asks to replace the applied state by the snapshot.
type Restore struct {
	Snapshot recorder.Snapshot
}

// Accepted tells which entry a proposal became. It is not committed yet.
type Accepted struct {
	ID    RequestID
	Index recorder.Index
	Term  recorder.Term
}

// Completed tells that a read may proceed, or that a change is done.
type Completed struct {
	ID RequestID
}

// Reason tells why a request was rejected.
type Reason string

// The reasons of a rejection.
const (
	// NotLeader: nothing was done; Leader may know better.
	NotLeader Reason = "NotLeader"
	// LeadershipLost: the request had begun, and its outcome is not known.
	LeadershipLost Reason = "LeadershipLost"
	// Busy: nothing was done, since something else must end first.
	Busy Reason = "Busy"
	// NotPossible: nothing was done; Detail says what stands against it.
	NotPossible Reason = "NotPossible"
)

// Rejected ends a request.
type Rejected struct {
	ID     RequestID
	Reason Reason
	Detail string
	// Leader is where the leader takes messages, if it is known.
	Leader netip.AddrPort
}

// RoleChanged tells of a new role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   recorder.Term
	Leader netip.AddrPort
}

// Announced tells of a new replica that waits to be admitted. Each replica with
// entries tells it once.
type Announced struct {
	Replica identifier.Replica
	Name    string
	Addr    netip.AddrPort
}

// Halted tells that an invariant does not hold. The replicator does nothing more.
type Halted struct {
	Detail string
}

func (Persist) effect()     {}
func (Send) effect()        {}
func (Apply) effect()       {}
func (Restore) effect()     {}
func (Accepted) effect()    {}
func (Completed) effect()   {}
func (Rejected) effect()    {}
func (RoleChanged) effect() {}
func (Announced) effect()   {}
func (Halted) effect()      {}
