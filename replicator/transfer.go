package replicator

import "time"

// transfer is a leadership transfer in progress. The leader rejects proposals until
// it ends.
type transfer struct {
	id             RequestID
	to             replica
	deadline       time.Time
	timeoutNowSent bool
}

func (r *Replicator) startTransfer(id RequestID) {
	if !r.isLeader() {
		r.reject(id, NotLeader, "")
		return
	}
	if r.transfer != nil {
		r.joinTransfer(id)
		return
	}
	to := r.successor()
	if to == "" {
		r.reject(id, NotPossible, "no other voter answers, so none can take over the leadership")
		return
	}
	r.transfer = &transfer{id: id, to: to, deadline: r.now.Add(r.cfg.ElectionTimeout)}
	r.continueTransfer()
}

// joinTransfer answers the request with the outcome of a transfer that the leader began by itself.
func (r *Replicator) joinTransfer(id RequestID) {
	if r.transfer.id != 0 {
		r.reject(id, Busy, "another leadership transfer is in progress")
		return
	}
	r.transfer.id = id
}

// handOver transfers the leadership of a leader that is about to stop, again and again until a
// transfer succeeds. Once an entry of its term is committed, it knows who else is about to stop.
func (r *Replicator) handOver() {
	if !r.leaving || r.transfer != nil || !r.committedInTerm() {
		return
	}
	if to := r.successor(); to != "" && !r.progress[to].leaving {
		r.startTransfer(0)
	}
}

// successor returns the active voter with the longest log, or "" if there is none. A voter
// that is about to stop comes last.
func (r *Replicator) successor() replica {
	var best *progress
	var to replica
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		if !m.Voter || !r.isActive(m.Replica) {
			continue
		}
		if best == nil || best.leaving && !p.leaving || best.leaving == p.leaving && p.match > best.match {
			best, to = p, m.Replica
		}
	}
	return to
}

// continueTransfer asks the target to campaign once it has every entry.
func (r *Replicator) continueTransfer() {
	t := r.transfer
	if t == nil || t.timeoutNowSent {
		return
	}
	m, ok := r.membership.Find(t.to)
	p := r.progress[t.to]
	if !ok || p == nil || p.match < r.log.last().Index {
		return
	}
	t.timeoutNowSent = true
	t.deadline = r.now.Add(r.cfg.ElectionTimeout)
	r.send(m.Addr, &TimeoutNow{Envelope: r.envelopeTo(t.to)})
}

func (r *Replicator) tickTransfer() {
	t := r.transfer
	if t == nil || r.now.Before(t.deadline) {
		return
	}
	r.transfer = nil
	r.reject(t.id, NotPossible, "the leadership transfer timed out, and this replica still leads")
}

func (r *Replicator) handleTimeoutNow(m *TimeoutNow) {
	self, ok := r.membership.Find(r.cfg.Replica)
	if r.role == Follower && ok && self.Voter && r.leader.replica == m.From {
		r.campaign(true)
	}
}
