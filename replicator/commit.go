package replicator

import (
	"slices"

	"celeryvalve/recorder"
)

// advanceCommit commits the entries that a majority of voters has synced, if the
// last of them is of the leader's own term. An entry of an earlier term may still
// be replaced, even if a majority has it.
func (r *Replicator) advanceCommit() {
	index := r.quorumMatch()
	position, ok := r.log.at(index)
	if !ok || index <= r.commit || position.Term != r.term {
		return
	}
	for _, e := range r.log.between(r.commit+1, index) {
		r.pendingBytes -= len(e.Data)
	}
	r.pendingBytes = max(r.pendingBytes, 0)
	r.commitTo(index)
	r.broadcastCommit()
	r.startReads()
	r.handleCommitAdvance()
}

// quorumMatch returns the highest index that a majority of voters has synced.
func (r *Replicator) quorumMatch() recorder.Index {
	return r.quorumIndex(r.disk.stable, func(p *progress) recorder.Index { return p.match })
}

// quorumIndex returns the highest index that a majority of voters has reached: own is that of this replica, of
// those of the others.
func (r *Replicator) quorumIndex(own recorder.Index, of func(*progress) recorder.Index) recorder.Index {
	var reached []recorder.Index
	for _, m := range r.membership.Members {
		switch {
		case !m.Voter:
		case m.Replica == r.cfg.Replica:
			reached = append(reached, own)
		default:
			reached = append(reached, of(r.progress[m.Replica]))
		}
	}
	if len(reached) == 0 {
		return 0
	}
	slices.Sort(reached)
	return reached[len(reached)-r.membership.Quorum()]
}

// broadcastCommit sends the commit index to the members that have been sent every
// entry. The others learn it from the requests with their entries.
func (r *Replicator) broadcastCommit() {
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		if p.snapshot == nil && p.next > r.log.last().Index {
			r.sendHeartbeat(m, p)
		}
	}
}

// committedInTerm reports whether an entry of the leader's own term is committed.
func (r *Replicator) committedInTerm() bool {
	position, ok := r.log.at(r.commit)
	return ok && position.Term == r.term
}
