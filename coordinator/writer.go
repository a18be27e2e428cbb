package coordinator

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// slowWrite is how long a write of the log takes at least to be logged: several commits may
// then miss the time that their submitters wait.
const slowWrite = 500 * time.Millisecond

// writer writes Persist effects to the disk in order, in a separate goroutine. Log
// writes that queue up during one sync are merged and written with the next one.
// Snapshots of the replica's own state are written beside them, in steps between
// which queued effects come first. notify is called with an event for each finished
// write, and fail with the first error.
type writer struct {
	store   *recorder.Recorder
	clock   clockwork.Clock
	metrics *replicaMetrics
	log     *zap.Logger
	notify  func(replicator.Event)
	fail    func(error)

	// saving is used by the goroutine of run only.
	saving *saving

	mu   sync.Mutex
	jobs []replicator.Persist
	// snapshot is queued. snapshotPending is set until it is saved.
	snapshot        *recorder.Snapshot
	snapshotPending bool
	// nextSnapshot is the earliest time at which another snapshot is accepted.
	nextSnapshot time.Time
	signal       chan struct{}
}

func newWriter(store *recorder.Recorder, clock clockwork.Clock, metrics *replicaMetrics, log *zap.Logger,
	notify func(replicator.Event), fail func(error)) *writer {
	return &writer{store: store, clock: clock, metrics: metrics, log: log, notify: notify, fail: fail, signal: make(chan struct{}, 1)}
}

func (w *writer) put(p replicator.Persist) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, p)
	w.wake()
}

func (w *writer) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

func (w *writer) take() ([]replicator.Persist, *recorder.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs, snapshot := w.jobs, w.snapshot
	w.jobs, w.snapshot = nil, nil
	return jobs, snapshot
}

// run writes what is queued until stop is closed or the disk fails.
func (w *writer) run(stop <-chan struct{}) {
	for w.wait(stop) {
		if err := w.writeQueued(); err != nil {
			w.fail(err)
			return
		}
	}
}

// wait waits for something to write, and returns false once stop is closed.
func (w *writer) wait(stop <-chan struct{}) bool {
	if w.saving != nil {
		select {
		case <-stop:
			return false
		default:
			return true
		}
	}
	select {
	case <-stop:
		return false
	case <-w.signal:
		return true
	}
}

// writeQueued writes the queued jobs and one step of a snapshot.
func (w *writer) writeQueued() error {
	jobs, snapshot := w.take()
	if err := w.write(jobs); err != nil {
		return err
	}
	if snapshot != nil {
		w.saving = &saving{snapshot: *snapshot, steps: w.store.SnapshotSteps(*snapshot)}
	}
	if w.saving == nil {
		return nil
	}
	return w.saveStep()
}

func (w *writer) write(jobs []replicator.Persist) error {
	for len(jobs) > 0 {
		n, batch, sequence := group(jobs)
		start := w.clock.Now()
		if n == 0 {
			if err := w.store.InstallSnapshot(*jobs[0].Install); err != nil {
				return err
			}
			w.observeSnapshot(w.clock.Since(start))
			w.notify(replicator.Persisted{Sequence: jobs[0].Sequence})
			jobs = jobs[1:]
			continue
		}
		if err := w.store.Append(batch); err != nil {
			return err
		}
		took := w.clock.Since(start)
		w.metrics.syncSeconds.Update(took.Seconds())
		if took >= slowWrite {
			w.log.Warn("A write of the log took long.", zap.Duration("took", took), zap.Int("merged", n), zap.Int("entries", len(batch.Entries)))
		}
		w.notify(replicator.Persisted{Sequence: sequence})
		jobs = jobs[n:]
	}
	return nil
}

// group merges the jobs before the first snapshot to install into one batch for the log. n
// is the number of merged jobs, and sequence is that of the last one.
func group(jobs []replicator.Persist) (n int, batch recorder.Batch, sequence replicator.Sequence) {
	for _, j := range jobs {
		if j.Install != nil {
			break
		}
		if j.HardState != nil {
			batch.HardState = j.HardState
		}
		batch.Entries = overwrite(batch.Entries, j.Entries)
		batch.Committed = j.Committed
		sequence = j.Sequence
		n++
	}
	return n, batch, sequence
}

// overwrite appends later to entries after truncating entries at the first index
// of later. If later begins at or before the first of entries, it replaces all
// of them.
func overwrite(entries, later []recorder.Entry) []recorder.Entry {
	if len(entries) == 0 || len(later) == 0 {
		return append(entries, later...)
	}
	first := entries[0].Index
	if later[0].Index <= first {
		return later
	}
	return append(entries[:later[0].Index-first], later...)
}
