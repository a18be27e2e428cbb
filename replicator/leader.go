package replicator

import (
	"slices"
	"time"

	"celeryvalve/recorder"
)

// progress is the leader's view of one other member.
type progress struct {
	// match is the last index up to which the member's synced log is known to equal
	// the leader's.
	match recorder.Index
	// next is the index of the next entry to send.
	next recorder.Index
	// probing is set until the member accepts a request. Until then, requests with
	// entries are sent one at a time.
	probing bool
	// inflight holds the last index of each unacknowledged append request with entries, in order.
	inflight []recorder.Index
	// sentAt is when entries or a snapshot chunk were last sent, or entries last
	// acknowledged. heardAt is when any answer last came, heartbeatAt when a
	// heartbeat or any other request was last sent.
	sentAt      time.Time
	heardAt     time.Time
	heartbeatAt time.Time
	round       Round
	// received is the last index up to which the member's log, synced or not, is known to equal the leader's.
	// It falls if the member restarts before it has synced what it received.
	received recorder.Index
	// number is that of the last append request, entriesNumber that of the last one with entries, and
	// answeredNumber the highest one that was answered.
	number, entriesNumber, answeredNumber uint64
	// resends counts how often a chunk, or entries to a member that doesn't tell what it has received, were
	// sent again without progress.
	resends int
	// answered is set once the member has answered this leader.
	answered bool
	pace     pace
	// awaitsState is set until the state that the member lacks has been captured.
	awaitsState bool
	snapshot    *outgoingSnapshot
	// leaving is set if the member's last answer said that it is about to stop.
	leaving bool
}

func (r *Replicator) becomeLeader() {
	r.role = Leader
	r.leader = peer{replica: r.cfg.Replica, addr: r.cfg.Addr}
	r.election.sawLeader = true
	r.progress = make(map[replica]*progress)
	r.round = 0
	r.leaderSince = r.now
	r.pendingBytes = int(bytesOf(r.log.after(r.commit)))
	r.unreceived = unreceived{index: r.commit, bytes: r.pendingBytes}
	r.capturing = false
	r.trackMembers()
	r.roleChanged()
	r.appendLocal(recorder.Entry{Kind: recorder.Noop})
	r.broadcast()
}

// endLeadership answers the pending reads, membership change and leadership
// transfer, since only a leader can carry them on.
func (r *Replicator) endLeadership() {
	r.progress = nil
	for _, id := range r.reads.takeAll() {
		r.reject(id, NotLeader, "")
	}
	if r.change != nil {
		r.reject(r.change.id, LeadershipLost, "the leadership was lost during the membership change")
		r.change = nil
	}
	if r.transfer != nil {
		r.emit(Completed{ID: r.transfer.id})
		r.transfer = nil
	}
	r.rejectWaiting(NotLeader, "")
	r.resetElectionTimer()
}

// trackMembers adds and deletes progress records, so that there is one for every
// other member.
func (r *Replicator) trackMembers() {
	for id := range r.progress {
		if _, ok := r.membership.Find(id); !ok {
			delete(r.progress, id)
		}
	}
	r.forgetRemoved()
	for _, m := range r.membership.Members {
		if m.Replica == r.cfg.Replica || r.progress[m.Replica] != nil {
			continue
		}
		r.progress[m.Replica] = &progress{
			next:    r.log.last().Index + 1,
			probing: true,
			heardAt: r.now,
			pace:    pace{until: r.log.last().Index, since: r.now},
		}
	}
}

// appendLocal appends new entries to the leader's own log and asks to sync them.
// Their time is never before that of an earlier entry, even if the leader's clock
// is behind.
func (r *Replicator) appendLocal(entries ...recorder.Entry) {
	at := r.log.timeOf(r.log.last().Index)
	if now := r.now.UTC().Truncate(time.Microsecond); now.After(at) {
		at = now
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

func (r *Replicator) reject(id RequestID, reason Reason, detail string) {
	rejected := Rejected{ID: id, Reason: reason, Detail: detail}
	if !r.isLeader() {
		rejected.Leader = r.leader.addr
	}
	r.emit(rejected)
}

func (r *Replicator) tickLeader() {
	if !r.hasQuorum() || r.diskStalled() {
		r.becomeFollower(r.term, peer{})
		return
	}
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		r.retransmit(m, p)
		if r.now.Sub(p.heartbeatAt) >= r.cfg.HeartbeatInterval {
			r.sendHeartbeat(m, p)
		}
	}
	r.tickTransfer()
	r.handOver()
	r.advanceLearners()
	r.appendWaiting()
}

// hasQuorum reports whether a majority of voters answered within the election timeout.
func (r *Replicator) hasQuorum() bool {
	return r.countVoters(func(p *progress) bool {
		return r.now.Sub(p.heardAt) <= r.cfg.ElectionTimeout
	}) >= r.membership.Quorum()
}

// countVoters counts the voters for which pred holds. The leader always counts, if
// it is a voter.
func (r *Replicator) countVoters(pred func(*progress) bool) int {
	n := 0
	for _, m := range r.membership.Members {
		if !m.Voter {
			continue
		}
		if m.Replica == r.cfg.Replica || pred(r.progress[m.Replica]) {
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

// broadcast sends a heartbeat to every other member, and entries to those that
// lack some.
func (r *Replicator) broadcast() {
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		r.sendHeartbeat(m, p)
		r.replicate(m, p)
	}
}

// sendHeartbeat sends an append request without entries. Its previous position is
// that of the last entry that the member is known to hold, or zero if the leader's
// log does not have that entry.
func (r *Replicator) sendHeartbeat(m recorder.Member, p *progress) {
	previous, ok := r.log.at(p.match)
	if !ok {
		previous = recorder.Position{}
	}
	r.sendAppend(m, p, &AppendRequest{Previous: previous, Silences: r.silences()})
}

func (r *Replicator) sendAppend(m recorder.Member, p *progress, request *AppendRequest) {
	p.number++
	p.heartbeatAt = r.now
	request.Envelope = r.envelopeTo(m.Replica)
	request.Commit = r.commit
	request.Round = r.round
	request.Number = p.number
	r.send(m.Addr, request)
}

// maxProbeBytes limits the entries that are sent before it is known where the member's log ends.
const maxProbeBytes = 4 << 10

// replicate sends the entries that the member lacks, within the limit of requests
// in flight, or the state.
func (r *Replicator) replicate(m recorder.Member, p *progress) {
	for p.snapshot == nil && !p.awaitsState && (p.probing || p.next <= r.log.last().Index) {
		if len(p.inflight) >= r.cfg.MaxInflight || p.probing && len(p.inflight) > 0 {
			return
		}
		if r.lacksState(p) {
			r.requestState(m, p)
			return
		}
		previous, _ := r.log.at(p.next - 1)
		limit := r.cfg.MaxAppendBytes
		if p.probing {
			limit = min(limit, maxProbeBytes)
		}
		entries := r.log.batch(p.next, r.cfg.MaxAppendEntries, limit)
		if p.probing && bytesOf(entries) > limit {
			entries = nil
		}
		r.sendAppend(m, p, &AppendRequest{Previous: previous, Entries: entries})
		p.inflight = append(p.inflight, p.next+recorder.Index(len(entries))-1)
		p.sentAt = r.now
		p.entriesNumber = p.number
		if !p.probing {
			p.next += recorder.Index(len(entries))
		}
	}
}

// maxResendShift bounds how often the time until something is sent again is doubled. On a busy link, what
// is sent twice delays everything else.
const maxResendShift = 3

// resendLost sends entries again that the member lacks although it has answered a later request. Messages
// arrive in the order in which they are sent.
func (r *Replicator) resendLost(p *progress) {
	known := max(p.received, p.match)
	if len(p.inflight) == 0 || p.answeredNumber <= p.entriesNumber || !p.probing && known+1 >= p.next {
		return
	}
	p.inflight = nil
	if !p.probing {
		p.next = known + 1
	}
}

// retransmit sends entries or a snapshot chunk again that were not answered in
// time. A member that does not answer gets heartbeats only, until it answers one.
func (r *Replicator) retransmit(m recorder.Member, p *progress) {
	if r.now.Sub(p.sentAt) < r.cfg.retransmitAfter()<<min(p.resends, maxResendShift) {
		return
	}
	if !r.isActive(m.Replica) {
		return
	}
	if p.snapshot != nil {
		p.resends++
		r.sendChunk(m, p)
		return
	}
	if p.answeredNumber == 0 && p.match < r.log.last().Index {
		p.resends++
		p.inflight = nil
		if !p.probing {
			p.next, p.probing = p.match+1, true
		}
	}
	r.replicate(m, p)
}

func (r *Replicator) handleAppendResponse(m *AppendResponse) {
	p := r.progress[m.From]
	member, ok := r.membership.Find(m.From)
	if p == nil || !ok {
		return
	}
	p.heardAt, p.answered = r.now, true
	p.leaving = m.Leaving
	if m.Number >= p.answeredNumber {
		p.answeredNumber, p.received = m.Number, m.Received
	}
	p.round = max(p.round, m.Round)
	if m.Accepted {
		r.locate(p, m)
		r.advanceMatch(p, m.Match)
	} else {
		r.rewindNext(p, m)
	}
	if !r.isLeader() {
		return
	}
	r.resendLost(p)
	r.replicate(member, p)
	r.completeReads()
	r.continueTransfer()
	r.advanceLearners()
	r.appendWaiting()
}

// locate ends the probing of a member whose log is known to equal the leader's up to the next entry.
func (r *Replicator) locate(p *progress, m *AppendResponse) {
	if known := max(m.Received, m.Match); p.probing && known+1 >= p.next {
		p.probing = false
		p.inflight = nil
		p.resends = 0
		p.next = min(known, r.log.last().Index) + 1
	}
}

// advanceMatch handles the acknowledgement of the entries up to match.
func (r *Replicator) advanceMatch(p *progress, match recorder.Index) {
	if !r.check(match <= r.log.last().Index, "a member acknowledged entry %d, which is beyond the last entry of the leader's log", match) {
		return
	}
	if match <= p.match {
		return
	}
	p.match = match
	p.next = max(p.next, match+1)
	p.probing = false
	p.inflight = slices.DeleteFunc(p.inflight, func(last recorder.Index) bool { return last <= match })
	p.sentAt = r.now
	p.resends = 0
	p.pace.acknowledge(match, r.log.last().Index, r.now)
	r.advanceCommit()
}

// rewindNext moves next back to where the member's log may equal the leader's.
func (r *Replicator) rewindNext(p *progress, m *AppendResponse) {
	if m.Refused <= p.match || p.snapshot != nil {
		return
	}
	p.next = max(min(m.Refused, m.Hint+1), p.match+1)
	p.probing = true
	p.inflight = nil
}
