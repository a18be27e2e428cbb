package replicator

import (
	"fmt"
	"slices"
	"time"

	"celeryvalve/recorder"
)

// pendingChange is a requested membership change that is not completed yet.
type pendingChange struct {
	id RequestID
	// admitted is the replica to become a voter, or empty if there is none.
	admitted replica
}

// reloadMembership sets the membership to the last one in the log or, if the log
// has none, to that of the snapshot.
func (r *Replicator) reloadMembership() {
	r.membership = r.snapshot.Membership.Clone()
	r.membershipIndex = r.snapshot.Position.Index
	r.updateMembership(r.log.entries)
}

// updateMembership sets the membership to the last one among the entries, if there
// is one. The entries must be the end of the log.
func (r *Replicator) updateMembership(entries []recorder.Entry) {
	for _, e := range slices.Backward(entries) {
		if e.Kind == recorder.MembershipChange {
			r.membership = e.Membership.Clone()
			r.membershipIndex = e.Index
			return
		}
	}
}

// changeBlockedReason returns why the membership can't be changed now, or "". The
// last change must be committed, and so must an entry of the leader's own term.
// Otherwise two leaders could rely on majorities that don't overlap. During a transfer of
// the leadership nothing may be appended, since the successor would lack it.
func (r *Replicator) changeBlockedReason() string {
	if r.transfer != nil {
		return transferring
	}
	if !r.committedInTerm() {
		return "the leader has not committed an entry of its term yet"
	}
	if r.membershipIndex > r.commit {
		return "an earlier membership change is not committed yet"
	}
	return ""
}

// admit adds the new replica of that name as a learner. A voter of the same name
// must no longer answer: otherwise a delayed announcement could admit a disk that
// has itself been replaced by that voter's.
func (r *Replicator) admit(request AdmitRequested) {
	id, name := request.ID, request.Name
	if !r.beginChange(id) {
		return
	}
	j, ok := r.joiners[name]
	if !ok || r.now.Sub(j.heardAt) > r.cfg.joinerLifetime() {
		r.reject(id, NotPossible, fmt.Sprintf("no new replica has announced itself as %q", name))
		return
	}
	if _, ok := r.membership.Find(j.peer.replica); ok {
		r.reject(id, NotPossible, fmt.Sprintf("replica %s is a member already", j.peer.replica))
		return
	}
	next := recorder.Membership{}
	added := recorder.Member{Replica: j.peer.replica, Name: name, Addr: j.peer.addr, Standby: request.Standby}
	for _, m := range r.membership.Members {
		switch {
		case m.Name != name:
			next.Members = append(next.Members, m)
		case m.Replica == r.cfg.Replica:
			r.reject(id, NotPossible, "the leader can't be replaced; transfer the leadership first")
			return
		case m.Voter && r.isActive(m.Replica):
			r.reject(id, NotPossible, fmt.Sprintf("member %s of that name still answers, so it can't be replaced", m.Replica))
			return
		case m.Voter:
			added.Replaces, added.Standby = m.Replica, false
			next.Members = append(next.Members, m)
		}
	}
	next.Members = append(next.Members, added)
	r.change = &pendingChange{id: id}
	if !added.Standby {
		r.change.admitted = added.Replica
	}
	r.changeMembership(next)
}

// replace begins to give the place of a voter to a standby. advanceLearners does the rest.
func (r *Replicator) replace(request ReplaceRequested) {
	if !r.beginChange(request.ID) {
		return
	}
	if m, ok := r.membership.Find(request.Standby); !ok || !m.Standby {
		r.reject(request.ID, NotPossible, fmt.Sprintf("replica %q is not a standby", request.Standby))
		return
	}
	if m, ok := r.membership.Find(request.Voter); request.Voter != "" && (!ok || !m.Voter) {
		r.reject(request.ID, NotPossible, fmt.Sprintf("replica %q is not a voter", request.Voter))
		return
	}
	r.change = &pendingChange{id: request.ID, admitted: request.Standby}
	r.changeMembership(r.withMember(request.Standby, func(m *recorder.Member) {
		m.Standby, m.Replaces = false, request.Voter
	}))
}

// remove removes the member of that name. If a learner has the name, only the
// learner is removed: this cancels an admission that does not complete.
func (r *Replicator) remove(id RequestID, name string) {
	if !r.beginChange(id) {
		return
	}
	member, ok := r.findToRemove(name)
	if !ok {
		r.reject(id, NotPossible, fmt.Sprintf("no member has the name %q", name))
		return
	}
	next := r.without(member.Replica)
	if member.Replica == r.cfg.Replica {
		r.reject(id, NotPossible, "the leader can't remove itself; transfer the leadership first")
		return
	}
	if !r.hasQuorumOf(next) {
		r.reject(id, NotPossible, "fewer than a majority of the remaining voters answer")
		return
	}
	r.change = &pendingChange{id: id}
	r.changeMembership(next)
}

// beginChange rejects the request and returns false unless a change can begin. A
// pending admission whose learner no longer answers is cancelled.
func (r *Replicator) beginChange(id RequestID) bool {
	if !r.isLeader() {
		r.reject(id, NotLeader, "")
		return false
	}
	if c := r.change; c != nil && (c.admitted == "" || r.isActive(c.admitted)) {
		r.reject(id, Busy, "another membership change is in progress")
		return false
	}
	if reason := r.changeBlockedReason(); reason != "" {
		r.reject(id, Busy, reason)
		return false
	}
	if r.change != nil {
		r.reject(r.change.id, NotPossible, "the new replica no longer answers, and another membership change was requested")
		r.change = nil
	}
	return true
}

// findToRemove returns the member of that name, a learner rather than a voter.
func (r *Replicator) findToRemove(name string) (member recorder.Member, ok bool) {
	for _, m := range r.membership.Members {
		if m.Name == name && (!ok || !m.Voter) {
			member, ok = m, true
		}
	}
	return member, ok
}

// without returns the membership without the member.
func (r *Replicator) without(id replica) recorder.Membership {
	next := r.membership.Clone()
	next.Members = slices.DeleteFunc(next.Members, func(m recorder.Member) bool { return m.Replica == id })
	return next
}

// hasQuorumOf reports whether a majority of the voters of next is active.
func (r *Replicator) hasQuorumOf(next recorder.Membership) bool {
	n := 0
	for _, m := range next.Members {
		if m.Voter && (m.Replica == r.cfg.Replica || r.isActive(m.Replica)) {
			n++
		}
	}
	return n >= next.Quorum()
}

// isActive reports whether the other member answered within the activity window.
func (r *Replicator) isActive(id replica) bool {
	p := r.progress[id]
	return p != nil && r.now.Sub(p.heardAt) <= r.activityWindow()
}

// activityWindow returns how long a member counts as active after an answer. It is
// shorter than the election timeout, so that no membership change relies on a
// member that has just stopped answering.
func (r *Replicator) activityWindow() time.Duration {
	return r.cfg.ElectionTimeout / 2
}

func (r *Replicator) changeMembership(next recorder.Membership) {
	next = next.Clone()
	for _, m := range next.Members {
		if _, ok := r.membership.Find(m.Replica); !ok {
			r.lastHeard[m.Replica] = r.now
		}
	}
	r.appendLocal(recorder.Entry{Kind: recorder.MembershipChange, Membership: &next})
	r.reloadMembership()
	r.trackMembers()
	r.replicateAll()
}

// advanceLearners takes the next step of a learner towards its vote. If the voter that it replaces
// no longer answers, that one is removed first, so that no majority needs it; otherwise the
// learner votes first, so that another voter may be lost meanwhile. Each step keeps a majority of
// the voters active. A new leader continues where the previous one stopped.
func (r *Replicator) advanceLearners() {
	if !r.isLeader() || r.changeBlockedReason() != "" {
		return
	}
	for _, m := range r.membership.Members {
		if m.Standby || m.Voter && m.Replaces == "" || !r.hasAnswered(m.Replica) {
			continue
		}
		_, present := r.membership.Find(m.Replaces)
		switch {
		case m.Voter:
			r.removeReplaced(m)
		case present && !r.answers(m.Replaces):
			r.removeBeforeVote(m)
		default:
			r.giveVote(m, present)
		}
		return
	}
	r.completeChange()
}

// giveVote makes the learner a voter. If that raises the quorum, the learner must keep up with the log
// first, since a majority may need it at once. Otherwise a majority needs no more of the other voters than
// before, so that the vote does not wait for what the learner has to learn.
func (r *Replicator) giveVote(m recorder.Member, replacedPresent bool) {
	next := r.withMember(m.Replica, func(m *recorder.Member) {
		m.Voter = true
		if !replacedPresent {
			m.Replaces = ""
		}
	})
	if next.Quorum() == r.membership.Quorum() || r.keepsUp(m.Replica) {
		r.changeMembership(next)
	}
}

// removeBeforeVote removes the voter whose place the learner m takes.
func (r *Replicator) removeBeforeVote(m recorder.Member) {
	if next := r.without(m.Replaces); r.hasQuorumOf(next) {
		r.changeMembership(next)
	}
}

// removeReplaced removes the member whose place the voter m has taken. A leader hands over
// the leadership before it is removed.
func (r *Replicator) removeReplaced(m recorder.Member) {
	if m.Replaces == r.cfg.Replica {
		if r.transfer == nil {
			r.startTransfer(0)
		}
		return
	}
	next := r.withMember(m.Replica, func(m *recorder.Member) { m.Replaces = "" })
	next.Members = slices.DeleteFunc(next.Members, func(o recorder.Member) bool { return o.Replica == m.Replaces })
	if r.hasQuorumOf(next) {
		r.changeMembership(next)
	}
}

// withMember returns the membership with change applied to the member.
func (r *Replicator) withMember(id replica, change func(*recorder.Member)) recorder.Membership {
	next := r.membership.Clone()
	for i := range next.Members {
		if next.Members[i].Replica == id {
			change(&next.Members[i])
		}
	}
	return next
}

// hasAnswered reports whether the member is active and has answered this leader.
func (r *Replicator) hasAnswered(id replica) bool {
	p := r.progress[id]
	return p != nil && p.answered && r.isActive(id)
}

// keepsUp reports whether the member is active and has synced every committed entry, or acknowledges each
// entry within the election timeout. While changes go on, a member with a slow disk never holds all of them.
func (r *Replicator) keepsUp(id replica) bool {
	p := r.progress[id]
	return p != nil && r.isActive(id) && (p.match >= r.commit || p.pace.within(r.cfg.ElectionTimeout, r.now))
}

// committedMembership returns the last membership that is committed.
func (r *Replicator) committedMembership() recorder.Membership {
	if r.membershipIndex <= r.commit {
		return r.membership
	}
	for _, e := range slices.Backward(r.log.entries) {
		if e.Index <= r.commit && e.Kind == recorder.MembershipChange {
			return *e.Membership
		}
	}
	return r.snapshot.Membership
}

// completeChange answers the request for the pending change. An admission is complete once the vote of the
// new replica is committed: from then on another disk may be lost.
func (r *Replicator) completeChange() {
	c := r.change
	if c == nil {
		return
	}
	if c.admitted != "" {
		m, ok := r.membership.Find(c.admitted)
		if !ok || !m.Voter || m.Replaces != "" {
			return
		}
	}
	r.change = nil
	r.emit(Completed{ID: c.id})
}

// handleCommitAdvance steps down if this leader is no longer a voter in a committed
// membership. Otherwise it continues membership changes that waited for a commit.
func (r *Replicator) handleCommitAdvance() {
	self, ok := r.membership.Find(r.cfg.Replica)
	if r.membershipIndex <= r.commit && (!ok || !self.Voter) {
		r.becomeFollower(r.term, peer{})
		return
	}
	r.advanceLearners()
	r.appendWaiting()
}
