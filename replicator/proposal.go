package replicator

import (
	"fmt"
	"slices"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// transferring is the detail of proposals that are rejected during a leadership transfer.
const transferring = "the leadership is being transferred"

// proposalQueue holds commands that wait until the leader may append them. What is in the log goes over the links
// before a membership change or the end of a leadership transfer; what waits here does not.
type proposalQueue struct {
	proposals []Proposal
	bytes     int
}

func (q *proposalQueue) put(p Proposal) {
	q.proposals = append(q.proposals, p)
	q.bytes += len(p.Data)
}

// take returns the first proposals, of limit bytes together at most. If atLeastOne is set, the first one
// may be larger.
func (q *proposalQueue) take(limit int, atLeastOne bool) []Proposal {
	n, size := 0, 0
	for _, p := range q.proposals {
		if size+len(p.Data) > limit && (n > 0 || !atLeastOne) {
			break
		}
		size += len(p.Data)
		n++
	}
	taken := slices.Clone(q.proposals[:n])
	q.proposals = slices.Delete(q.proposals, 0, n)
	q.bytes -= size
	return taken
}

// remove removes the proposal with the id, if it is in the queue.
func (q *proposalQueue) remove(id RequestID) {
	i := slices.IndexFunc(q.proposals, func(p Proposal) bool { return p.ID == id })
	if i >= 0 {
		q.bytes -= len(q.proposals[i].Data)
		q.proposals = slices.Delete(q.proposals, i, i+1)
	}
}

// unreceived is the size of the commands in the leader's log that no majority is known to have received, synced
// or not: those after index.
type unreceived struct {
	index recorder.Index
	bytes int
}

// propose appends the commands, or lets them wait until they may be appended.
func (r *Replicator) propose(proposals []Proposal) {
	for _, p := range proposals {
		if reason, detail := r.rejectionReason(p); reason != "" {
			r.reject(p.ID, reason, detail)
			continue
		}
		r.waiting.put(p)
	}
	r.appendWaiting()
}

// rejectionReason returns why the proposal can't be accepted now, as a reason and a detail, or empty
// strings if it can.
func (r *Replicator) rejectionReason(p Proposal) (Reason, string) {
	switch {
	case !r.isLeader():
		return NotLeader, ""
	case identifier.ByteCount(len(p.Data)) > MaxCommandBytes:
		return NotPossible, fmt.Sprintf("the command has %d bytes, more than the limit of %d", len(p.Data), MaxCommandBytes)
	case r.transfer != nil:
		return Busy, transferring
	case r.pendingBytes+r.waiting.bytes > int(r.cfg.MaxPendingBytes):
		return Busy, "too many proposed bytes are not committed yet"
	default:
		return "", ""
	}
}

// appendWaiting appends commands that wait, in order, as long as those that no majority has received stay within
// the limit. A command that is larger is appended alone. While a membership change is not committed none is
// appended: it could not be committed before the change, and the next step of the change would have to wait for it.
func (r *Replicator) appendWaiting() {
	if len(r.waiting.proposals) == 0 || !r.isLeader() || r.membershipIndex > r.commit {
		return
	}
	if r.transfer != nil {
		r.rejectWaiting(Busy, transferring)
		return
	}
	r.updateUnreceived()
	proposals := r.waiting.take(int(r.cfg.MaxUnreceivedBytes)-r.unreceived.bytes, r.unreceived.bytes == 0)
	if len(proposals) == 0 {
		return
	}
	next := r.log.last().Index + 1
	entries := make([]recorder.Entry, 0, len(proposals))
	for i, p := range proposals {
		entries = append(entries, recorder.Entry{Kind: recorder.Command, Data: p.Data})
		r.emit(Accepted{ID: p.ID, Index: next + recorder.Index(i), Term: r.term})
		r.unreceived.bytes += len(p.Data)
	}
	r.appendLocal(entries...)
	r.replicateAll()
}

// updateUnreceived drops what a majority has received by now.
func (r *Replicator) updateUnreceived() {
	received := r.quorumIndex(r.log.last().Index, func(p *progress) recorder.Index { return max(p.received, p.match) })
	if received <= r.unreceived.index {
		return
	}
	r.unreceived.bytes = int(bytesOf(r.log.after(received)))
	r.unreceived.index = received
}

// rejectWaiting rejects the commands that wait. They have had no effect.
func (r *Replicator) rejectWaiting(reason Reason, detail string) {
	for _, p := range r.waiting.proposals {
		r.reject(p.ID, reason, detail)
	}
	r.waiting = proposalQueue{}
}
