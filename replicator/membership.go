package replicator

import (
	"fmt"
	"slices"
	"time"

	"celeryvalve/recorder"
)

// change is the membership change that an operator waits for.
type change struct {
	id RequestID
	// admitted is the new replica, or empty for a removal.
	admitted replica
}

// findMembership sets the membership to the one that the log ends with.
func (r *Replicator) findMembership() {
	r.membership = r.snapshot.Membership.Clone()
	r.membershipAt = r.snapshot.Position.Index
	r.noteMembership(r.log.entries)
}

// noteMembership takes over the last membership among entries at the log's end.
func (r *Replicator) noteMembership(entries []recorder.Entry) {
	for _, e := range slices.Backward(entries) {
		if e.Kind == recorder.MembershipChange {
			r.membership = e.Membership.Clone()
			r.membershipAt = e.Index
			return
		}
	}
}

// mayChange reports why the membership can't be changed now, or "". The last
// change must be committed, and an entry of the own term: without it two
// leaders could build on majorities that don't overlap.
func (r *Replicator) mayChange() string {
	if !r.committedInTerm() {
		return "the leader has not committed an entry of its term yet"
	}
	if r.membershipAt > r.commit {
		return "an earlier membership change is not committed yet"
	}
	return ""
}

// admit adds the new replica as a learner. A voter of the same name must have
// fallen silent: an announcement that was long under way could otherwise stand
// for a disk that is itself replaced already.
func (r *Replicator) admit(id RequestID, name string) {
	if !r.beginChange(id) {
		return
	}
	j, ok := r.joiners[name]
	if !ok || r.now.Sub(j.at) > r.cfg.answerLifetime() {
		r.reject(id, NotPossible, fmt.Sprintf("no new replica has announced itself as %q", name))
		return
	}
	if _, ok := r.membership.Find(j.peer.replica); ok {
		r.reject(id, NotPossible, fmt.Sprintf("replica %s is a member already", j.peer.replica))
		return
	}
	next := recorder.Membership{}
	added := recorder.Member{Replica: j.peer.replica, Name: name, Addr: j.peer.addr}
	for _, m := range r.membership.Members {
		switch {
		case m.Name != name:
			next.Members = append(next.Members, m)
		case m.Replica == r.cfg.Replica:
			r.reject(id, NotPossible, "the leader can't be replaced; transfer the leadership first")
			return
		case m.Voter && r.answers(m.Replica):
			r.reject(id, NotPossible, fmt.Sprintf("member %s of that name still answers", m.Replica))
			return
		case m.Voter:
			added.Replaces = m.Replica
			next.Members = append(next.Members, m)
		}
	}
	next.Members = append(next.Members, added)
	r.change = &change{id: id, admitted: added.Replica}
	r.changeMembership(next)
}

// remove removes the member of that name, or only its learner where there is
// one: an admission that will not end is taken back this way.
func (r *Replicator) remove(id RequestID, name string) {
	if !r.beginChange(id) {
		return
	}
	next, removed := r.without(func(m recorder.Member) bool { return m.Name == name && !m.Voter })
	if !removed {
		next, removed = r.without(func(m recorder.Member) bool { return m.Name == name })
	}
	if !removed {
		r.reject(id, NotPossible, fmt.Sprintf("no member has the name %q", name))
		return
	}
	if _, ok := next.Find(r.cfg.Replica); !ok {
		r.reject(id, NotPossible, "the leader can't remove itself; transfer the leadership first")
		return
	}
	if !r.hasQuorumOf(next) {
		r.reject(id, NotPossible, "too few of the remaining replicas answer")
		return
	}
	r.change = &change{id: id}
	r.changeMembership(next)
}

// beginChange rejects the request unless a change can begin. An admission whose
// learner fell silent is given up for the new change.
func (r *Replicator) beginChange(id RequestID) bool {
	if !r.isLeader() {
		r.reject(id, NotLeader, "")
		return false
	}
	if c := r.change; c != nil && (c.admitted == "" || r.answers(c.admitted)) {
		r.reject(id, Busy, "another membership change is under way")
		return false
	}
	if why := r.mayChange(); why != "" {
		r.reject(id, Busy, why)
		return false
	}
	if r.change != nil {
		r.reject(r.change.id, NotPossible, "the new replica fell silent, and another change took its place")
		r.change = nil
	}
	return true
}

func (r *Replicator) without(leaves func(recorder.Member) bool) (next recorder.Membership, removed bool) {
	for _, m := range r.membership.Members {
		if leaves(m) {
			removed = true
			continue
		}
		next.Members = append(next.Members, m)
	}
	return next, removed
}

// hasQuorumOf reports whether a majority of that membership answers now.
func (r *Replicator) hasQuorumOf(next recorder.Membership) bool {
	n := 0
	for _, m := range next.Members {
		if m.Voter && (m.Replica == r.cfg.Replica || r.answers(m.Replica)) {
			n++
		}
	}
	return n >= next.Quorum()
}

func (r *Replicator) answers(id replica) bool {
	p := r.progress[id]
	return p != nil && r.now.Sub(p.heardAt) <= r.answerWindow()
}

// answerWindow is shorter than the election timeout: a change must not begin
// with a member that has just fallen silent.
func (r *Replicator) answerWindow() time.Duration {
	return r.cfg.ElectionTimeout / 2
}

func (r *Replicator) changeMembership(next recorder.Membership) {
	next = next.Clone()
	r.appendOwn(recorder.Entry{Kind: recorder.MembershipChange, Membership: &next})
	r.findMembership()
	r.trackMembers()
	r.replicateAll()
}

// advanceRepair takes the next step for a learner: once it has synced the log,
// the member that it replaces leaves, and then it votes. Either step keeps a
// majority of the remaining voters. Any leader can go on where another ended.
func (r *Replicator) advanceRepair() {
	if !r.isLeader() || r.mayChange() != "" {
		return
	}
	for _, m := range r.membership.Members {
		if m.Voter || !r.caughtUp(m.Replica) {
			continue
		}
		if next, removed := r.without(func(o recorder.Member) bool { return o.Replica == m.Replaces }); removed {
			if m.Replaces != r.cfg.Replica && r.hasQuorumOf(next) {
				r.changeMembership(next)
			}
			return
		}
		r.changeMembership(r.promoted(m.Replica))
		return
	}
	r.completeChange()
}

func (r *Replicator) promoted(id replica) recorder.Membership {
	next := r.membership.Clone()
	for i := range next.Members {
		if next.Members[i].Replica == id {
			next.Members[i].Voter = true
			next.Members[i].Replaces = ""
		}
	}
	return next
}

// caughtUp reports whether the member answers and has synced every committed entry.
func (r *Replicator) caughtUp(id replica) bool {
	p := r.progress[id]
	return p != nil && p.match >= r.commit && r.answers(id)
}

// completeChange answers the operator. An admission counts as done only when
// the new voter has itself synced the entry that made it one.
func (r *Replicator) completeChange() {
	c := r.change
	if c == nil {
		return
	}
	if c.admitted != "" {
		m, ok := r.membership.Find(c.admitted)
		if !ok || !m.Voter || r.progress[c.admitted].match < r.membershipAt {
			return
		}
	}
	r.change = nil
	r.emit(Completed{ID: c.id})
}

// afterCommit goes on with what waited for a commit.
func (r *Replicator) afterCommit() {
	self, ok := r.membership.Find(r.cfg.Replica)
	if r.membershipAt <= r.commit && (!ok || !self.Voter) {
		r.follow(r.term, peer{})
		return
	}
	r.advanceRepair()
}
