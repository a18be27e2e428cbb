package replicator

import (
	"time"

	"celeryvalve/recorder"
)

// disk is what the replicator knows of its Persist effects.
type disk struct {
	issued Sequence
	done   Sequence
	// hardState is the last sequence that carried a hard state.
	hardState Sequence
	// stable is the last index of the log that is synced.
	stable  recorder.Index
	pending []pendingPersist
	held    []heldEffect
}

// pendingPersist is a Persist effect that is not answered yet.
type pendingPersist struct {
	sequence Sequence
	// last is the last index that is stable once it is synced, or 0.
	last recorder.Index
	at   time.Time
}

// heldEffect waits until everything up to sequence is synced.
type heldEffect struct {
	sequence Sequence
	effect   Effect
}

func (r *Replicator) persistHardState() {
	hs := r.hardState()
	r.persist(Persist{HardState: &hs}, 0)
	r.disk.hardState = r.disk.issued
}

func (r *Replicator) persistEntries(entries []recorder.Entry) {
	if len(entries) == 0 {
		return
	}
	r.persist(Persist{Entries: entries}, entries[len(entries)-1].Index)
}

func (r *Replicator) persist(p Persist, last recorder.Index) {
	r.disk.issued++
	p.Sequence = r.disk.issued
	r.disk.pending = append(r.disk.pending, pendingPersist{sequence: p.Sequence, last: last, at: r.now})
	r.emit(p)
}

// sendAfter sends the message once everything up to sequence is synced.
func (r *Replicator) sendAfter(sequence Sequence, e Send) {
	if sequence <= r.disk.done {
		r.emit(e)
		return
	}
	r.disk.held = append(r.disk.held, heldEffect{sequence: sequence, effect: e})
}

// forgetStable notes that the log was truncated from index on.
func (d *disk) forgetStable(index recorder.Index) {
	d.stable = min(d.stable, index-1)
	for i := range d.pending {
		d.pending[i].last = min(d.pending[i].last, index-1)
	}
}

// diskHangs reports whether the disk has left a Persist effect unanswered for so
// long that the replica should neither lead nor stand for election.
func (r *Replicator) diskHangs() bool {
	d := &r.disk
	return len(d.pending) > 0 && r.now.Sub(d.pending[0].at) > r.cfg.diskTimeout()
}

func (r *Replicator) persisted(sequence Sequence) {
	d := &r.disk
	if sequence <= d.done {
		return
	}
	d.done = sequence
	for len(d.pending) > 0 && d.pending[0].sequence <= sequence {
		if d.pending[0].last > 0 {
			d.stable = d.pending[0].last
		}
		d.pending = d.pending[1:]
	}
	if !r.check(d.stable <= r.log.last().Index, "synced entry %d lies behind the log's end %d", d.stable, r.log.last().Index) {
		return
	}
	r.release()
	r.countOwnVote()
	if r.isLeader() {
		r.advanceCommit()
	}
}

func (r *Replicator) release() {
	d := &r.disk
	for len(d.held) > 0 && d.held[0].sequence <= d.done {
		r.emit(d.held[0].effect)
		d.held = d.held[1:]
	}
}
