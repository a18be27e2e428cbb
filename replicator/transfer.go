package replicator

import "time"

// transfer is a handover of the leadership. Meanwhile proposals are rejected.
type transfer struct {
	id       RequestID
	to       replica
	deadline time.Time
	asked    bool
}

func (r *Replicator) startTransfer(id RequestID) {
	if !r.isLeader() {
		r.reject(id, NotLeader, "")
		return
	}
	if r.transfer != nil {
		r.reject(id, Busy, "a transfer is under way")
		return
	}
	var best *progress
	var to replica
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		if m.Voter && r.answers(m.Replica) && (best == nil || p.match > best.match) {
			best, to = p, m.Replica
		}
	}
	if best == nil {
		r.reject(id, NotPossible, "no other voter answers")
		return
	}
	r.transfer = &transfer{id: id, to: to, deadline: r.now.Add(r.cfg.ElectionTimeout)}
	r.continueTransfer()
}

// continueTransfer lets the follower stand for election once it has every entry.
func (r *Replicator) continueTransfer() {
	t := r.transfer
	if t == nil || t.asked {
		return
	}
	m, ok := r.membership.Find(t.to)
	p := r.progress[t.to]
	if !ok || p == nil || p.match < r.log.last().Index {
		return
	}
	t.asked = true
	r.send(m.Addr, &TimeoutNow{Envelope: r.envelopeTo(t.to)})
}

func (r *Replicator) tickTransfer() {
	t := r.transfer
	if t == nil || r.now.Before(t.deadline) {
		return
	}
	r.transfer = nil
	r.reject(t.id, NotPossible, "the transfer took too long; this replica still leads")
}

func (r *Replicator) handleTimeoutNow(m *TimeoutNow) {
	self, ok := r.membership.Find(r.cfg.Replica)
	if r.role == Follower && ok && self.Voter && r.leader.replica == m.From {
		r.campaign(true)
	}
}
