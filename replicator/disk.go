package replicator

import (
	"time"

	"celeryvalve/recorder"
)

// disk tracks the Persist effects and the effects that wait for them.
type disk struct {
	// lastIssued and lastSynced are the sequences of the last Persist effect that
	// was emitted and of the last one that is synced.
	lastIssued Sequence
	lastSynced Sequence
	// lastHardState is the sequence of the last Persist effect with a hard state.
	lastHardState Sequence
	// stable is the last index up to which the log is synced.
	stable recorder.Index
	// notedCommit is the commit index in the last Persist effect.
	notedCommit recorder.Index
	pending     []pendingPersist
	deferred    []deferredEffect
}

// pendingPersist is a Persist effect that is not synced yet.
type pendingPersist struct {
	sequence Sequence
	// last is the last index of the log that is stable once the effect is synced,
	// or 0 if it contains only a hard state.
	last     recorder.Index
	issuedAt time.Time
}

// deferredEffect is an effect that is emitted once every Persist effect up to
// sequence is synced.
type deferredEffect struct {
	sequence Sequence
	effect   Effect
}

func (r *Replicator) persistHardState() {
	hs := r.hardState()
	r.persist(Persist{HardState: &hs}, 0)
	r.disk.lastHardState = r.disk.lastIssued
}

func (r *Replicator) persistEntries(entries []recorder.Entry) {
	if len(entries) == 0 {
		return
	}
	r.persist(Persist{Entries: entries}, entries[len(entries)-1].Index)
}

func (r *Replicator) persist(p Persist, last recorder.Index) {
	r.disk.lastIssued++
	p.Sequence = r.disk.lastIssued
	p.Committed = r.commit
	r.disk.notedCommit = r.commit
	r.disk.pending = append(r.disk.pending, pendingPersist{sequence: p.Sequence, last: last, issuedAt: r.now})
	r.emit(p)
}

// noteCommit writes the commit index to the disk once nothing else is being written. A
// replica that starts again then applies what was committed before it hears of a leader.
func (r *Replicator) noteCommit() {
	if r.commit > r.disk.notedCommit && len(r.disk.pending) == 0 {
		r.persist(Persist{}, 0)
	}
}

// sendAfter sends the message once every Persist effect up to sequence is synced.
func (r *Replicator) sendAfter(sequence Sequence, e Send) {
	if sequence <= r.disk.lastSynced {
		r.emit(e)
		return
	}
	r.disk.deferred = append(r.disk.deferred, deferredEffect{sequence: sequence, effect: e})
}

// truncateStable lowers the stable index, also that of pending effects, after the
// log was truncated from index on.
func (d *disk) truncateStable(index recorder.Index) {
	d.stable = min(d.stable, index-1)
	for i := range d.pending {
		d.pending[i].last = min(d.pending[i].last, index-1)
	}
}

// diskStalled reports whether a Persist effect has been pending for so long that
// the replica should neither lead nor campaign.
func (r *Replicator) diskStalled() bool {
	d := &r.disk
	return len(d.pending) > 0 && r.now.Sub(d.pending[0].issuedAt) > r.cfg.diskTimeout()
}

func (r *Replicator) handlePersisted(sequence Sequence) {
	d := &r.disk
	if sequence <= d.lastSynced {
		return
	}
	d.lastSynced = sequence
	for len(d.pending) > 0 && d.pending[0].sequence <= sequence {
		if d.pending[0].last > 0 {
			d.stable = d.pending[0].last
		}
		d.pending = d.pending[1:]
	}
	if !r.check(d.stable <= r.log.last().Index, "synced entry %d is beyond the last entry %d of the log", d.stable, r.log.last().Index) {
		return
	}
	r.releaseDeferred()
	r.countSelfVote()
	if r.isLeader() {
		r.advanceCommit()
	}
}

// releaseDeferred emits the deferred effects whose Persist effects are synced.
func (r *Replicator) releaseDeferred() {
	d := &r.disk
	for len(d.deferred) > 0 && d.deferred[0].sequence <= d.lastSynced {
		r.emit(d.deferred[0].effect)
		d.deferred = d.deferred[1:]
	}
}
