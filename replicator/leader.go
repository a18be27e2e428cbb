package replicator

import (
	"fmt"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// progress is what a leader knows of one other member.
type progress struct {
	// match is the last index that the member has synced like the leader.
	match recorder.Index
	// next is the first index that was not sent yet.
	next recorder.Index
	// probing is set until a request was accepted: entries go one request at a time.
	probing  bool
	inflight int
	// sentAt is when entries were last sent, heardAt when any answer came.
	sentAt   time.Time
	heardAt  time.Time
	beatAt   time.Time
	round    Round
	snapshot *outgoing
}

func (r *Replicator) becomeLeader() {
	r.role = Leader
	r.leader = peer{replica: r.cfg.Replica, addr: r.cfg.Addr}
	r.election.led = true
	r.progress = make(map[replica]*progress)
	r.round = 0
	r.pendingBytes = 0
	r.trackMembers()
	r.roleChanged()
	r.appendOwn(recorder.Entry{Kind: recorder.Noop})
	r.broadcast()
}

// endLeadership answers what only a leader can complete.
func (r *Replicator) endLeadership() {
	r.progress = nil
	for _, id := range r.reads.takeAll() {
		r.reject(id, NotLeader, "")
	}
	if r.change != nil {
		r.reject(r.change.id, LeadershipLost, "leadership was lost during the change")
		r.change = nil
	}
	if r.transfer != nil {
		r.emit(Completed{ID: r.transfer.id})
		r.transfer = nil
	}
	r.hear()
}

// trackMembers keeps a progress for every other member.
func (r *Replicator) trackMembers() {
	for id := range r.progress {
		if _, ok := r.membership.Find(id); !ok {
			delete(r.progress, id)
		}
	}
	for _, m := range r.membership.Members {
		if m.Replica == r.cfg.Replica || r.progress[m.Replica] != nil {
			continue
		}
		r.progress[m.Replica] = &progress{next: max(r.log.last().Index, 1), probing: true, heardAt: r.now}
	}
}

// appendOwn appends entries of the leader and syncs them. Their time never lies
// before that of an earlier entry, whatever the leaders' clocks say.
func (r *Replicator) appendOwn(entries ...recorder.Entry) {
	at := r.log.timeOf(r.log.last().Index)
	if wall := r.now.UTC().Truncate(time.Microsecond); wall.After(at) {
		at = wall
	}
	previous := r.log.last()
	for i := range entries {
		e := &entries[i]
		e.Index, e.Term, e.At = previous.Index+1, r.term, at
		e.Chain = e.ChainAfter(previous.Chain)
		previous = e.Position()
		r.pendingBytes += len(e.Data)
	}
	r.log.append(entries...)
	r.persistEntries(append([]recorder.Entry(nil), entries...))
}

func (r *Replicator) propose(proposals []Proposal) {
	if !r.isLeader() {
		for _, p := range proposals {
			r.reject(p.ID, NotLeader, "")
		}
		return
	}
	var entries []recorder.Entry
	next := r.log.last().Index + 1
	for _, p := range proposals {
		if reason, detail := r.refuses(p); reason != "" {
			r.reject(p.ID, reason, detail)
			continue
		}
		entries = append(entries, recorder.Entry{Kind: recorder.Command, Data: p.Data})
		r.emit(Accepted{ID: p.ID, Index: next, Term: r.term})
		next++
	}
	if len(entries) == 0 {
		return
	}
	r.appendOwn(entries...)
	r.replicateAll()
}

// refuses tells why the leader takes in no such proposal now, or "".
func (r *Replicator) refuses(p Proposal) (Reason, string) {
	switch {
	case identifier.ByteCount(len(p.Data)) > MaxCommandBytes:
		return NotPossible, fmt.Sprintf("the command has %d bytes, and %d is the limit", len(p.Data), MaxCommandBytes)
	case r.transfer != nil:
		return Busy, "the leadership is being transferred"
	case r.pendingBytes > int(r.cfg.MaxPendingBytes):
		return Busy, "too much is waiting to be committed"
	default:
		return "", ""
	}
}

func (r *Replicator) reject(id RequestID, reason Reason, detail string) {
	rejected := Rejected{ID: id, Reason: reason, Detail: detail}
	if !r.isLeader() {
		rejected.Leader = r.leader.addr
	}
	r.emit(rejected)
}

func (r *Replicator) tickLeader() {
	if !r.hasQuorum() || r.diskHangs() {
		r.follow(r.term, peer{})
		return
	}
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		r.retransmit(m, p)
		if r.now.Sub(p.beatAt) >= r.cfg.HeartbeatInterval {
			r.beat(m, p)
		}
	}
	r.tickTransfer()
	r.advanceRepair()
}

// hasQuorum reports whether a majority of voters answered within the election timeout.
func (r *Replicator) hasQuorum() bool {
	return r.countVoters(func(p *progress) bool {
		return r.now.Sub(p.heardAt) <= r.cfg.ElectionTimeout
	}) >= r.membership.Quorum()
}

// countVoters counts the voters that fit, the leader included.
func (r *Replicator) countVoters(fits func(*progress) bool) int {
	n := 0
	for _, m := range r.membership.Members {
		if !m.Voter {
			continue
		}
		if m.Replica == r.cfg.Replica || fits(r.progress[m.Replica]) {
			n++
		}
	}
	return n
}

// others returns every member but the leader.
func (r *Replicator) others() []recorder.Member {
	others := make([]recorder.Member, 0, len(r.membership.Members))
	for _, m := range r.membership.Members {
		if m.Replica != r.cfg.Replica {
			others = append(others, m)
		}
	}
	return others
}

func (r *Replicator) replicateAll() {
	for _, m := range r.others() {
		r.replicate(m, r.progress[m.Replica])
	}
}

// broadcast sends a heartbeat to every member, with entries where there are any.
func (r *Replicator) broadcast() {
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		r.beat(m, p)
		r.replicate(m, p)
	}
}

// beat sends a heartbeat. It names only what the member is known to hold.
func (r *Replicator) beat(m recorder.Member, p *progress) {
	previous, ok := r.log.at(p.match)
	if !ok {
		previous = recorder.Position{}
	}
	p.beatAt = r.now
	r.send(m.Addr, &AppendRequest{
		Envelope: r.envelopeTo(m.Replica),
		Previous: previous,
		Commit:   r.commit,
		Round:    r.round,
	})
}

// replicate sends the entries that the member lacks, as far as its window allows.
func (r *Replicator) replicate(m recorder.Member, p *progress) {
	for p.snapshot == nil && p.next <= r.log.last().Index {
		if p.inflight >= r.cfg.MaxInflight || p.probing && p.inflight > 0 {
			return
		}
		previous, ok := r.log.at(p.next - 1)
		if !ok {
			r.startSnapshot(m, p)
			return
		}
		entries := r.log.batch(p.next, r.cfg.MaxAppendEntries, r.cfg.MaxAppendBytes)
		r.send(m.Addr, &AppendRequest{
			Envelope: r.envelopeTo(m.Replica),
			Previous: previous,
			Entries:  entries,
			Commit:   r.commit,
			Round:    r.round,
		})
		p.inflight++
		p.sentAt = r.now
		p.beatAt = r.now
		if !p.probing {
			p.next += recorder.Index(len(entries))
		}
	}
}

// retransmit sends again what was not answered in time. A silent member gets
// heartbeats only, until it answers one.
func (r *Replicator) retransmit(m recorder.Member, p *progress) {
	if r.now.Sub(p.sentAt) < r.cfg.retransmitAfter() {
		return
	}
	if !r.answers(m.Replica) {
		return
	}
	if p.snapshot != nil {
		r.sendChunk(m, p)
		return
	}
	p.inflight = 0
	if !p.probing && p.match < r.log.last().Index {
		p.next = p.match + 1
		p.probing = true
	}
	r.replicate(m, p)
}

func (r *Replicator) handleAppendResponse(m *AppendResponse) {
	p := r.progress[m.From]
	member, ok := r.membership.Find(m.From)
	if p == nil || !ok {
		return
	}
	p.heardAt = r.now
	p.round = max(p.round, m.Round)
	if m.Accepted {
		r.accepted(p, m.Match)
	} else {
		r.refused(p, m)
	}
	if !r.isLeader() {
		return
	}
	r.replicate(member, p)
	r.completeReads()
	r.continueTransfer()
	r.advanceRepair()
}

func (r *Replicator) accepted(p *progress, match recorder.Index) {
	if !r.check(match <= r.log.last().Index, "a member holds entry %d behind the leader's log", match) {
		return
	}
	if match <= p.match {
		return
	}
	p.match = match
	p.next = max(p.next, match+1)
	p.probing = false
	p.inflight = max(p.inflight-1, 0)
	if p.next == match+1 {
		p.inflight = 0
	}
	p.sentAt = r.now
	r.advanceCommit()
}

// refused moves back to where the member's log may agree.
func (r *Replicator) refused(p *progress, m *AppendResponse) {
	if m.Refused <= p.match || p.snapshot != nil {
		return
	}
	p.next = max(min(m.Refused, m.Hint+1), p.match+1)
	p.probing = true
	p.inflight = 0
}
