package coordinator

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// job is one write: a Persist effect or a snapshot to save.
type job struct {
	persist  replicator.Persist
	snapshot *recorder.Snapshot
}

// writer writes to the disk in order, in a goroutine of its own. What piles up
// during one sync is written together by the next.
type writer struct {
	store   *recorder.Recorder
	clock   clockwork.Clock
	seconds *metrics.Histogram
	done    func(replicator.Event)
	fail    func(error)

	mu     sync.Mutex
	jobs   []job
	signal chan struct{}
}

func newWriter(store *recorder.Recorder, clock clockwork.Clock, seconds *metrics.Histogram,
	done func(replicator.Event), fail func(error)) *writer {
	return &writer{store: store, clock: clock, seconds: seconds, done: done, fail: fail, signal: make(chan struct{}, 1)}
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

// run writes until stop is closed or the disk fails.
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
			if err := w.writeAlone(jobs[0]); err != nil {
				return err
			}
			jobs = jobs[1:]
			continue
		}
		start := w.clock.Now()
		if err := w.store.Append(batch); err != nil {
			return err
		}
		w.seconds.Update(w.clock.Since(start).Seconds())
		w.done(replicator.Persisted{Sequence: sequence})
		jobs = jobs[n:]
	}
	return nil
}

// group merges the jobs at the front that go into the log. n is their number.
func group(jobs []job) (n int, batch recorder.Batch, sequence replicator.Sequence) {
	for _, j := range jobs {
		if j.snapshot != nil || j.persist.Install != nil {
			break
		}
		if j.persist.HardState != nil {
			batch.HardState = j.persist.HardState
		}
		batch.Entries = overwrite(batch.Entries, j.persist.Entries)
		sequence = j.persist.Sequence
		n++
	}
	return n, batch, sequence
}

// overwrite appends later to entries, in place of any from its first index on.
// Where later begins before entries it takes the place of them all.
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

func (w *writer) writeAlone(j job) error {
	if j.snapshot != nil {
		if err := w.store.SaveSnapshot(*j.snapshot); err != nil {
			return err
		}
		w.done(replicator.SnapshotTaken{Snapshot: *j.snapshot})
		return nil
	}
	if err := w.store.InstallSnapshot(*j.persist.Install); err != nil {
		return err
	}
	w.done(replicator.Persisted{Sequence: j.persist.Sequence})
	return nil
}
