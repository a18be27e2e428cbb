package replicator

import (
	"slices"

	"celeryvalve/recorder"
)

// reads are the requests to read that wait for a round of heartbeats. A leader
// that a majority answers after the request was the leader at the request.
type reads struct {
	waiting []RequestID
	active  []RequestID
	round   Round
	// index is the commit index at the beginning of the active round.
	index recorder.Index
}

func (q *reads) takeAll() []RequestID {
	all := slices.Concat(q.active, q.waiting)
	*q = reads{}
	return all
}

func (r *Replicator) read(id RequestID) {
	if !r.isLeader() {
		r.reject(id, NotLeader, "")
		return
	}
	r.reads.waiting = append(r.reads.waiting, id)
	r.startReads()
}

// startReads begins a round for all that wait. Before an entry of its own term
// is committed a leader may not know of every committed entry.
func (r *Replicator) startReads() {
	q := &r.reads
	if len(q.active) > 0 || len(q.waiting) == 0 || !r.committedInTerm() {
		return
	}
	q.active, q.waiting = q.waiting, nil
	q.index = r.commit
	r.round++
	q.round = r.round
	for _, m := range r.others() {
		r.beat(m, r.progress[m.Replica])
	}
	r.completeReads()
}

func (r *Replicator) completeReads() {
	q := &r.reads
	if len(q.active) == 0 {
		return
	}
	n := r.countVoters(func(p *progress) bool { return p.round >= q.round })
	if n < r.membership.Quorum() {
		return
	}
	for _, id := range q.active {
		r.emit(Completed{ID: id})
	}
	q.active = nil
	r.startReads()
}
