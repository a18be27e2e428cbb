package replicator

import (
	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Backlog is what a member has not acknowledged yet: the entries after its last acknowledged one,
// or the rest of a snapshot and the entries after that.
type Backlog struct {
	Entries       int
	EntryBytes    identifier.ByteCount
	SnapshotBytes identifier.ByteCount
}

// ChangeStep is what a membership change waits for.
type ChangeStep string

// The steps of a membership change.
const (
	// NoChange: no membership change is in progress.
	NoChange ChangeStep = ""
	// AwaitingCommit: the last change, or the first entry of the leader's term, is not committed.
	AwaitingCommit ChangeStep = "AwaitingCommit"
	// AwaitingAnswer: the learner does not answer.
	AwaitingAnswer ChangeStep = "AwaitingAnswer"
	// AwaitingSnapshot: the learner has not installed the snapshot.
	AwaitingSnapshot ChangeStep = "AwaitingSnapshot"
	// AwaitingEntries: the learner has not synced the entries.
	AwaitingEntries ChangeStep = "AwaitingEntries"
	// AwaitingTransfer: the leadership is being transferred.
	AwaitingTransfer ChangeStep = "AwaitingTransfer"
	// AwaitingQuorum: too few of the voters that would remain answer.
	AwaitingQuorum ChangeStep = "AwaitingQuorum"
)

// changeStep returns what the first learner on its way to a vote waits for, or the requested change.
func (r *Replicator) changeStep() ChangeStep {
	if !r.isLeader() {
		return NoChange
	}
	for _, m := range r.membership.Members {
		if p := r.progress[m.Replica]; p != nil && !m.Standby && (!m.Voter || m.Replaces != "") {
			return r.memberStep(m, p)
		}
	}
	if r.change != nil {
		return AwaitingCommit
	}
	return NoChange
}

func (r *Replicator) memberStep(m recorder.Member, p *progress) ChangeStep {
	switch {
	case r.transfer != nil:
		return AwaitingTransfer
	case r.changeBlockedReason() != "":
		return AwaitingCommit
	case !r.hasAnswered(m.Replica):
		return AwaitingAnswer
	case p.snapshot != nil || p.awaitsState:
		return AwaitingSnapshot
	case !r.keepsUp(m.Replica):
		return AwaitingEntries
	default:
		return AwaitingQuorum
	}
}

func (r *Replicator) backlog(p *progress) Backlog {
	var b Backlog
	after := p.match
	if s := p.snapshot; s != nil {
		after = s.snapshot.Position.Index
		b.SnapshotBytes = identifier.ByteCount(len(s.snapshot.Data)) - s.offset
	}
	entries := r.log.after(after)
	b.Entries, b.EntryBytes = len(entries), bytesOf(entries)
	return b
}
