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

// job is one write: a Persist effect or a snapshot to save.
type job struct {
	persist  replicator.Persist
	snapshot *recorder.Snapshot
}

// writer writes jobs to the disk in order, in a separate goroutine. Log writes
// that queue up during one sync are merged and written with the next one. notify
// is called with an event for each finished write, and fail with the first error.
type writer struct {
	store   *recorder.Recorder
	clock   clockwork.Clock
	metrics *replicaMetrics
	log     *zap.Logger
	notify  func(replicator.Event)
	fail    func(error)

	mu     sync.Mutex
	jobs   []job
	signal chan struct{}
}

func newWriter(store *recorder.Recorder, clock clockwork.Clock, metrics *replicaMetrics, log *zap.Logger,
	notify func(replicator.Event), fail func(error)) *writer {
	return &writer{store: store, clock: clock, metrics: metrics, log: log, notify: notify, fail: fail, signal: make(chan struct{}, 1)}
}

func (w *writer) put(j job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, j)
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

func (w *writer) take() []job {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.jobs
	w.jobs = nil
	return jobs
}

// run writes queued jobs until stop is closed or the disk fails.
func (w *writer) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-w.signal:
		}
		if err := w.write(w.take()); err != nil {
			w.fail(err)
			return
		}
	}
}

func (w *writer) write(jobs []job) error {
	for len(jobs) > 0 {
		n, batch, sequence := group(jobs)
		if n == 0 {
			start := w.clock.Now()
			if err := w.writeSnapshot(jobs[0]); err != nil {
				return err
			}
			w.observeSnapshot(w.clock.Since(start))
			jobs = jobs[1:]
			continue
		}
		start := w.clock.Now()
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

func (w *writer) observeSnapshot(took time.Duration) {
	w.metrics.snapshotSeconds.Update(took.Seconds())
	if took >= slowWrite {
		w.log.Warn("A write of a snapshot took long.", zap.Duration("took", took))
	}
}

// group merges the jobs before the first snapshot into one batch for the log. n
// is the number of merged jobs, and sequence is that of the last one.
func group(jobs []job) (n int, batch recorder.Batch, sequence replicator.Sequence) {
	for _, j := range jobs {
		if j.snapshot != nil || j.persist.Install != nil {
			break
		}
		if j.persist.HardState != nil {
			batch.HardState = j.persist.HardState
		}
		batch.Entries = overwrite(batch.Entries, j.persist.Entries)
		batch.Committed = j.persist.Committed
		sequence = j.persist.Sequence
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

// writeSnapshot saves a snapshot that this replica has taken, or installs one
// that the leader has sent.
func (w *writer) writeSnapshot(j job) error {
	if j.snapshot != nil {
		if err := w.store.SaveSnapshot(*j.snapshot); err != nil {
			return err
		}
		w.notify(replicator.SnapshotTaken{Snapshot: *j.snapshot})
		return nil
	}
	if err := w.store.InstallSnapshot(*j.persist.Install); err != nil {
		return err
	}
	w.notify(replicator.Persisted{Sequence: j.persist.Sequence})
	return nil
}
