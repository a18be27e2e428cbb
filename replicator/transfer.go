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
		r.reject(id, Busy, "another leadership transfer is in progress")
		return
	}
	var best *progress
	var to replica
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		if m.Voter && r.isActive(m.Replica) && (best == nil || p.match > best.match) {
			best, to = p, m.Replica
		}
	}
	if best == nil {
		r.reject(id, NotPossible, "no other voter answers, so none can take over the leadership")
		return
	}
	r.transfer = &transfer{id: id, to: to, deadline: r.now.Add(r.cfg.ElectionTimeout)}
	r.continueTransfer()
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
