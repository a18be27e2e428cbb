package replicator

import "celeryvalve/recorder"

// handleAppend merges the leader's entries into the log, commits up to the
// leader's commit index and answers.
func (r *Replicator) handleAppend(m *AppendRequest) {
	previous, entries, ok := r.skipCommitted(m.Previous, m.Entries)
	if !ok {
		return
	}
	own, held := r.log.at(previous.Index)
	if !held || own.Term != previous.Term {
		r.refuseAppend(m, held)
		return
	}
	if !r.check(own == previous, "entry %d of term %d differs from the leader's", own.Index, own.Term) {
		return
	}
	appended, ok := r.mergeEntries(entries)
	if !ok {
		return
	}
	match := previous.Index + recorder.Index(len(entries))
	r.verified = max(r.verified, match)
	r.commitTo(min(m.Commit, r.verified))
	r.acceptAppend(m, match, appended)
}

// skipCommitted drops the entries up to the commit index, which can't differ from
// the leader's log, and returns the remaining ones with the position before them.
// It returns false if an entry does differ.
func (r *Replicator) skipCommitted(previous recorder.Position, entries []recorder.Entry) (recorder.Position, []recorder.Entry, bool) {
	if previous.Index >= r.commit {
		return previous, entries, true
	}
	for len(entries) > 0 && entries[0].Index <= r.commit {
		own, held := r.log.at(entries[0].Index)
		same := !held || own == entries[0].Position()
		if !r.check(same, "committed entry %d differs from the leader's", entries[0].Index) {
			return previous, nil, false
		}
		entries = entries[1:]
	}
	committed, _ := r.log.at(r.commit)
	return committed, entries, true
}

// mergeEntries appends the entries that the log lacks. Where the log has another
// entry instead, it is truncated there first. appended is whether an entry was
// appended, ok whether the invariants hold.
func (r *Replicator) mergeEntries(entries []recorder.Entry) (appended, ok bool) {
	for len(entries) > 0 {
		own, held := r.log.at(entries[0].Index)
		if !held || own.Term != entries[0].Term {
			break
		}
		if !r.check(own == entries[0].Position(), "entry %d of term %d differs from the leader's", own.Index, own.Term) {
			return false, false
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return false, true
	}
	first := entries[0].Index
	if first <= r.log.last().Index && !r.truncate(first) {
		return false, false
	}
	if !r.checkChain(entries) {
		return false, false
	}
	r.log.append(entries...)
	r.updateMembership(entries)
	r.persistEntries(append([]recorder.Entry(nil), entries...))
	return true, true
}

// truncate drops the log's entries from first on. It returns false if one of them
// is committed.
func (r *Replicator) truncate(first recorder.Index) bool {
	if !r.check(first > r.commit, "the leader would replace entry %d, but entries up to %d are committed", first, r.commit) {
		return false
	}
	r.log.truncate(first)
	r.disk.truncateStable(first)
	if r.membershipIndex >= first {
		r.reloadMembership()
	}
	return true
}

// checkChain asserts that the entries continue the log without a gap and with the
// right chain checksums.
func (r *Replicator) checkChain(entries []recorder.Entry) bool {
	previous := r.log.last()
	for _, e := range entries {
		follows := e.Index == previous.Index+1 && e.Chain == e.ChainAfter(previous.Chain)
		if !r.check(follows, "entry %d does not follow entry %d", e.Index, previous.Index) {
			return false
		}
		previous = e.Position()
	}
	return true
}

// acceptAppend acknowledges entries once they are synced. If none was appended, it
// acknowledges all that is synced already, so that the answer to a heartbeat does
// not wait for entries to be written, and makes up for lost acknowledgements.
func (r *Replicator) acceptAppend(m *AppendRequest, match recorder.Index, appended bool) {
	response := &AppendResponse{
		Envelope: r.envelopeTo(m.From),
		Accepted: true,
		Match:    match,
		Round:    m.Round,
		Received: r.verified,
		Number:   m.Number,
		Leaving:  r.leaving,
	}
	after := r.disk.lastHardState
	if appended {
		after = r.disk.lastIssued
	} else {
		response.Match = min(r.verified, r.disk.stable)
	}
	r.sendAfter(after, Send{To: m.Addr, Message: response})
}

// refuseAppend answers that the log does not have the previous entry of the
// request. held is whether it has an entry of another term at that index.
func (r *Replicator) refuseAppend(m *AppendRequest, held bool) {
	hint := r.log.last().Index
	if held {
		hint = max(r.log.lastBeforeTerm(m.Previous.Index), r.commit)
	}
	response := &AppendResponse{
		Envelope: r.envelopeTo(m.From),
		Refused:  m.Previous.Index,
		Hint:     hint,
		Round:    m.Round,
		Number:   m.Number,
		Leaving:  r.leaving,
	}
	r.sendAfter(r.disk.lastHardState, Send{To: m.Addr, Message: response})
}

// commitTo raises the commit index to index and emits the newly committed entries.
func (r *Replicator) commitTo(index recorder.Index) {
	if index <= r.commit {
		return
	}
	if !r.check(index <= r.log.last().Index, "commit index %d is beyond the last entry of the log", index) {
		return
	}
	entries := r.log.between(r.commit+1, index)
	r.commit = index
	r.emit(Apply{Entries: entries})
}
