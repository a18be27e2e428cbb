package replicator

import (
	"slices"

	"celeryvalve/recorder"
)

// readQueue holds the read requests that wait for a round of heartbeats. If a
// majority answers a heartbeat that was sent after a request, this replica was
// still the leader at the time of the request.
type readQueue struct {
	// waiting are the requests for the next round, active those of the current one.
	waiting []RequestID
	active  []RequestID
	round   Round
	// index is the commit index at the start of the active round.
	index recorder.Index
}

// takeAll empties the queue and returns all its requests.
func (q *readQueue) takeAll() []RequestID {
	all := slices.Concat(q.active, q.waiting)
	*q = readQueue{}
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

// startReads starts a round for all waiting requests. It does so only once the
// leader has committed an entry of its own term: before that, the leader may not
// know of every committed entry.
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
		r.sendHeartbeat(m, r.progress[m.Replica])
	}
	r.completeReads()
}

// completeReads completes the active requests if a majority has answered their
// round, and starts the next round.
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
