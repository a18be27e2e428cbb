package coordinator

import (
	"time"

	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// minLogBytes is the size of the log up to which no snapshot is taken for its size. A member gets
// as much in one message, so that a snapshot would spare it nothing.
const minLogBytes = replicator.DefaultMaxAppendBytes

// maxLogBytes returns the size of the commands since the last snapshot above which the next one is
// due. It bounds what a start has to read and apply by the size of the state: the log may become as
// large as the last snapshot, so that snapshots at most double what is written to the disk. To that
// come the commands that are committed while a snapshot is being saved, and afterwards for as long
// again, since entries need the disk too. A start may also read, and not apply, the commands before
// the snapshot that are in one segment of the disk with later ones.
func (c *Coordinator) maxLogBytes() identifier.ByteCount {
	return max(minLogBytes, c.snapshotBytes)
}

// snapshotIfDue takes a snapshot if the log since the last one is long enough and the disk has
// time for it.
func (c *Coordinator) snapshotIfDue() {
	entries := int(c.applied.Index - c.snapshotIndex)
	due := entries >= c.cfg.SnapshotEvery || c.bytesSinceSnapshot > c.maxLogBytes()
	if due && c.writer.acceptsSnapshot() {
		c.takeSnapshot()
	}
}

func (c *Coordinator) takeSnapshot() {
	s, ok := c.snapshot()
	if !ok {
		return
	}
	c.snapshotIndex = c.applied.Index
	c.snapshotBytes = identifier.ByteCount(len(s.Data))
	c.setLogBytes(0)
	c.metrics.snapshotsTaken.Inc()
	c.writer.putSnapshot(s)
}

// captureState hands the state to the reducer, which sends it to members that lack it.
func (c *Coordinator) captureState() {
	if s, ok := c.snapshot(); ok {
		c.metrics.statesSent.Inc()
		c.inbox.put(replicator.StateCaptured{Snapshot: s})
	}
}

// snapshot returns the applied state. If that fails, the replica fails.
func (c *Coordinator) snapshot() (recorder.Snapshot, bool) {
	data, err := c.machine.Snapshot()
	if err != nil {
		c.fail(explainer.Wrap(err, explainer.Internal, "the state machine could not create a snapshot", "restart this replica"))
		return recorder.Snapshot{}, false
	}
	return recorder.Snapshot{Position: c.applied, At: c.appliedAt, Membership: c.membership.Clone(), Data: data}, true
}

func (c *Coordinator) restore(s recorder.Snapshot) {
	if err := c.machine.Restore(s.Data); err != nil {
		c.fail(explainer.Wrap(err, explainer.Corrupt, "the leader's snapshot can't be restored",
			"run the leader's release on this replica"))
		return
	}
	c.applied = s.Position
	c.appliedAt = s.At
	c.membership = s.Membership.Clone()
	c.snapshotIndex = s.Position.Index
	c.snapshotBytes = identifier.ByteCount(len(s.Data))
	c.setLogBytes(0)
	c.metrics.snapshotsInstalled.Inc()
	c.setAppliedIndex(s.Position.Index)
	c.log.Info("Snapshot installed.", zap.Uint64("Index", uint64(s.Position.Index)), zap.Int("bytes", len(s.Data)))
}

func (c *Coordinator) setLogBytes(n identifier.ByteCount) {
	c.bytesSinceSnapshot = n
	c.logBytes.Store(int64(n))
}

// saving is a snapshot that is being written.
type saving struct {
	snapshot recorder.Snapshot
	// steps are those that are left.
	steps []func() error
	// took is the time that the disk spent on the other steps.
	took time.Duration
}

// acceptsSnapshot reports whether a snapshot may be put: the last one is saved, and the disk was
// left to entries for as long as that took. Snapshots thus get half of the disk's time at most.
func (w *writer) acceptsSnapshot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.snapshotPending && !w.clock.Now().Before(w.nextSnapshot)
}

// putSnapshot queues a snapshot of this replica's own state. The jobs that write its entries must
// have been put before, and acceptsSnapshot must have returned true.
func (w *writer) putSnapshot(s recorder.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.snapshotPending = true
	w.snapshot = &s
	w.wake()
}

// saveStep carries out the next step of the snapshot that is being written.
func (w *writer) saveStep() error {
	s := w.saving
	start := w.clock.Now()
	if err := s.steps[0](); err != nil {
		return err
	}
	s.took += w.clock.Since(start)
	s.steps = s.steps[1:]
	if len(s.steps) > 0 {
		return nil
	}
	w.saving = nil
	w.observeSnapshot(s.took)
	w.mu.Lock()
	w.snapshotPending = false
	w.nextSnapshot = w.clock.Now().Add(s.took)
	w.mu.Unlock()
	w.notify(replicator.SnapshotTaken{Snapshot: s.snapshot})
	return nil
}

func (w *writer) observeSnapshot(took time.Duration) {
	w.metrics.snapshotSeconds.Update(took.Seconds())
	if took >= slowWrite {
		w.log.Warn("A write of a snapshot took long.", zap.Duration("took", took))
	}
}
