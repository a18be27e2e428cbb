package replicator

import (
	"slices"

	"celeryvalve/recorder"
)

// advanceCommit commits what a majority of voters has synced, if it is of the
// leader's own term.
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
	r.spreadCommit()
	r.startReads()
	r.afterCommit()
}

func (r *Replicator) quorumMatch() recorder.Index {
	var matches []recorder.Index
	for _, m := range r.membership.Members {
		switch {
		case !m.Voter:
		case m.Replica == r.cfg.Replica:
			matches = append(matches, r.disk.stable)
		default:
			matches = append(matches, r.progress[m.Replica].match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-r.membership.Quorum()]
}

// spreadCommit tells the commit index to members that get no entries now.
func (r *Replicator) spreadCommit() {
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		if p.snapshot == nil && p.next > r.log.last().Index {
			r.beat(m, p)
		}
	}
}

// committedInTerm reports whether an entry of the leader's own term is committed.
func (r *Replicator) committedInTerm() bool {
	position, ok := r.log.at(r.commit)
	return ok && position.Term == r.term
}
