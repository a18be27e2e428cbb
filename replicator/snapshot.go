package replicator

import (
	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// outgoingSnapshot is a snapshot that is being sent to a member. It stays the same
// even if the leader takes newer snapshots in the meantime.
type outgoingSnapshot struct {
	snapshot recorder.Snapshot
	checksum uint64
	// offset is that of the chunk that was last sent.
	offset identifier.ByteCount
}

// incomingSnapshot is a snapshot of which some chunks have been received.
type incomingSnapshot struct {
	position recorder.Position
	checksum uint64
	data     []byte
}

// compact makes a snapshot that the caller has saved the current one, and drops
// entries that it covers.
func (r *Replicator) compact(s recorder.Snapshot) {
	if s.Position.Index <= r.snapshot.Position.Index {
		return
	}
	if !r.check(s.Position.Index <= r.commit, "snapshot of entry %d, which is not committed", s.Position.Index) {
		return
	}
	r.noteSnapshot(s)
	r.log.compact(r.log.compactionIndex(s.Position.Index, r.cfg.KeepEntries, r.cfg.KeepBytes))
}

// logPerState is how many times larger than the state the entries that a member lacks may be: it takes
// several syncs to install a state, and one to append entries.
const logPerState = 4

// noteSnapshot makes a snapshot that is on the disk, or is being written to it, the current one.
func (r *Replicator) noteSnapshot(s recorder.Snapshot) {
	r.stateBytes = identifier.ByteCount(len(s.Data))
	r.snapshot = s
	r.snapshot.Data = nil
}

// lacksState reports whether the member is to get the state, not the entries from p.next on: the log
// no longer has them, those that are committed are larger than the state, or the member has joined
// without any entry. What a newcomer learns is then bounded by the state, and its own membership is part
// of the first that it holds.
func (r *Replicator) lacksState(p *progress) bool {
	_, held := r.log.at(p.next - 1)
	newcomer := p.next == 1 && r.membershipIndex > 1
	if !held || newcomer {
		return true
	}
	return len(p.inflight) == 0 && r.committedBytes(p.next) > logPerState*max(r.cfg.MaxAppendBytes, r.stateBytes)
}

// committedBytes returns the size of the committed entries from first on.
func (r *Replicator) committedBytes(first recorder.Index) identifier.ByteCount {
	entries := r.log.after(first - 1)
	return bytesOf(entries[:max(0, len(entries)-int(r.log.last().Index-r.commit))])
}

// requestState asks for the state that the member lacks, once the member's admission is committed:
// the state then includes it.
func (r *Replicator) requestState(m recorder.Member, p *progress) {
	if _, ok := r.committedMembership().Find(m.Replica); !ok {
		return
	}
	p.awaitsState = true
	p.inflight = nil
	r.capture()
}

func (r *Replicator) capture() {
	if !r.capturing {
		r.capturing = true
		r.emit(CaptureState{})
	}
}

// sendState begins to send the state to the members that wait for it.
func (r *Replicator) sendState(s recorder.Snapshot) {
	r.stateBytes = identifier.ByteCount(len(s.Data))
	if !r.isLeader() {
		return
	}
	r.capturing = false
	checksum := xxhash.Sum64(s.Data)
	for _, m := range r.others() {
		p := r.progress[m.Replica]
		if !p.awaitsState {
			continue
		}
		if _, ok := s.Membership.Find(m.Replica); !ok { // it was admitted after the capture
			r.capture()
			continue
		}
		p.awaitsState = false
		if s.Position.Index > p.match {
			p.snapshot = &outgoingSnapshot{snapshot: s, checksum: checksum}
			p.resends = 0
			r.sendChunk(m, p)
		}
	}
}

func (r *Replicator) sendChunk(m recorder.Member, p *progress) {
	s := p.snapshot
	total := identifier.ByteCount(len(s.snapshot.Data))
	end := min(s.offset+r.cfg.SnapshotChunkSize, total)
	p.sentAt = r.now
	p.heartbeatAt = r.now
	r.send(m.Addr, &SnapshotRequest{
		Envelope:   r.envelopeTo(m.Replica),
		Position:   s.snapshot.Position,
		At:         s.snapshot.At,
		Membership: s.snapshot.Membership,
		Offset:     s.offset,
		Total:      total,
		Checksum:   s.checksum,
		Data:       s.snapshot.Data[s.offset:end],
		Round:      r.round,
	})
}

func (r *Replicator) handleSnapshotResponse(m *SnapshotResponse) {
	p := r.progress[m.From]
	member, ok := r.membership.Find(m.From)
	if p == nil || !ok {
		return
	}
	p.heardAt, p.answered = r.now, true
	p.round = max(p.round, m.Round)
	if p.snapshot != nil && p.snapshot.snapshot.Position.Index == m.Index {
		r.continueSnapshot(member, p, m)
	}
	r.completeReads()
	r.advanceLearners()
}

func (r *Replicator) continueSnapshot(member recorder.Member, p *progress, m *SnapshotResponse) {
	if m.Installed {
		p.snapshot = nil
		p.probing = true
		p.next = m.Index + 1
		r.advanceMatch(p, m.Index)
		r.replicate(member, p)
		return
	}
	if m.Offset == p.snapshot.offset || m.Offset > identifier.ByteCount(len(p.snapshot.snapshot.Data)) {
		return
	}
	p.snapshot.offset = m.Offset
	p.resends = 0
	r.sendChunk(member, p)
}

// handleSnapshot adds one chunk, and installs the snapshot after the last one. A
// chunk at another offset than the next is ignored. If the checksum of the whole
// does not match, the snapshot must be sent again from the beginning.
func (r *Replicator) handleSnapshot(m *SnapshotRequest) {
	if m.Position.Index <= r.commit {
		r.answerSnapshot(m, SnapshotResponse{Installed: true}, r.disk.lastIssued)
		return
	}
	if r.incomingSnapshot.position != m.Position || r.incomingSnapshot.checksum != m.Checksum {
		r.incomingSnapshot = incomingSnapshot{position: m.Position, checksum: m.Checksum}
	}
	incoming := &r.incomingSnapshot
	if m.Offset == identifier.ByteCount(len(incoming.data)) {
		incoming.data = append(incoming.data, m.Data...)
	}
	if identifier.ByteCount(len(incoming.data)) < m.Total {
		r.answerSnapshot(m, SnapshotResponse{Offset: identifier.ByteCount(len(incoming.data))}, r.disk.lastHardState)
		return
	}
	data := incoming.data
	r.incomingSnapshot = incomingSnapshot{}
	if xxhash.Sum64(data) != m.Checksum {
		r.answerSnapshot(m, SnapshotResponse{}, r.disk.lastHardState)
		return
	}
	r.install(recorder.Snapshot{
		Position:   m.Position,
		At:         m.At.UTC(),
		Membership: m.Membership.Clone(),
		Data:       data,
	})
	r.answerSnapshot(m, SnapshotResponse{Installed: true}, r.disk.lastIssued)
}

func (r *Replicator) answerSnapshot(m *SnapshotRequest, response SnapshotResponse, after Sequence) {
	response.Envelope = r.envelopeTo(m.From)
	response.Index = m.Position.Index
	response.Round = m.Round
	r.sendAfter(after, Send{To: m.Addr, Message: &response})
}

// install replaces the log with the snapshot. If the log already has the snapshot's
// entry, the log is kept and only committed up to that entry.
func (r *Replicator) install(s recorder.Snapshot) {
	if own, ok := r.log.at(s.Position.Index); ok && own.Term == s.Position.Term {
		if r.check(own == s.Position, "entry %d differs from the snapshot's", own.Index) {
			r.commitTo(s.Position.Index)
		}
		return
	}
	r.log.reset(s)
	// Until the snapshot is synced, the disk holds entries that may differ from the leader's.
	r.disk.truncateStable(r.commit + 1)
	r.noteSnapshot(s)
	r.commit = s.Position.Index
	r.verified = max(r.verified, s.Position.Index)
	r.reloadMembership()
	r.persist(Persist{Install: &s}, s.Position.Index)
	r.emit(Restore{Snapshot: s})
}
