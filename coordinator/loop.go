package coordinator

import (
	"time"

	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// run feeds ticks and queued events to the reducer until the replica is stopped.
func (c *Coordinator) run() {
	ticker := c.clock.NewTicker(c.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.Chan():
			c.step(replicator.Ticked{Jitter: c.cfg.Random()})
		case <-c.inbox.signal:
			for _, event := range c.inbox.take() {
				c.step(event)
			}
		}
	}
}

// step feeds one event to the reducer and executes the effects. It does nothing
// once the replica has failed.
func (c *Coordinator) step(event replicator.Event) {
	c.mu.Lock()
	if c.failure != nil {
		c.mu.Unlock()
		return
	}
	effects := c.reducer.Reduce(c.clock.Now(), event)
	c.mu.Unlock()
	for _, effect := range effects {
		c.execute(effect)
	}
}

func (c *Coordinator) execute(effect replicator.Effect) {
	switch e := effect.(type) {
	case replicator.Persist:
		c.writer.put(job{persist: e})
	case replicator.Send:
		c.transport.Send(e.To, e.Message)
	case replicator.Apply:
		c.apply(e.Entries)
	case replicator.Restore:
		c.restore(e.Snapshot)
	case replicator.CaptureState:
		c.captureState()
	case replicator.Accepted:
		c.waiters.accept(e)
	case replicator.Completed:
		c.waiters.finish(e.ID, response{})
	case replicator.Rejected:
		c.waiters.finish(e.ID, response{err: rejectionError(e)})
	case replicator.RoleChanged:
		c.handleRoleChange(e)
	case replicator.Announced:
		c.log.Warn("Replica with an empty data folder waits to be admitted.",
			zap.String("Name", e.Name), zap.String("Replica", string(e.Replica)), zap.Stringer("Addr", e.Addr))
	case replicator.Halted:
		c.fail(explainer.New(explainer.Internal, e.Detail, "keep the data folder for inspection and replace this replica"))
	}
}

func (c *Coordinator) handleRoleChange(e replicator.RoleChanged) {
	c.mu.Lock()
	c.role = e
	c.mu.Unlock()
	c.metrics.roleChanges.Inc()
	if e.Role != replicator.Leader {
		c.waiters.failAccepted()
	}
	c.log.Info("Role changed.", zap.String("Role", string(e.Role)),
		zap.Uint64("Term", uint64(e.Term)), zap.Stringer("Leader", e.Leader))
	if c.cfg.OnRoleChange != nil {
		c.cfg.OnRoleChange(e)
	}
}

// slowApply is how long entries take at least to be applied for that to be logged: the replica
// answers no message meanwhile.
const slowApply = 500 * time.Millisecond

func (c *Coordinator) apply(entries []recorder.Entry) {
	start := c.clock.Now()
	defer func() { c.observeApply(len(entries), c.clock.Since(start)) }()
	for _, e := range entries {
		var result any
		switch e.Kind {
		case recorder.Command:
			result = c.machine.Apply(uint64(e.Index), e.At.UTC(), e.Data)
		case recorder.MembershipChange:
			c.membership = *e.Membership
		case recorder.Noop:
		}
		c.applied = e.Position()
		c.appliedAt = e.At
		c.setAppliedIndex(e.Index)
		c.metrics.applied.Inc()
		c.bytesSinceSnapshot += identifier.ByteCount(len(e.Data))
		c.waiters.applied(e, result)
	}
	if int(c.applied.Index-c.snapshotIndex) >= c.cfg.SnapshotEvery || c.bytesSinceSnapshot > maxBytesSinceSnapshot {
		c.takeSnapshot()
	}
}

func (c *Coordinator) observeApply(entries int, took time.Duration) {
	c.logBytes.Store(int64(c.bytesSinceSnapshot))
	c.metrics.applySeconds.Update(took.Seconds())
	if took >= slowApply {
		c.log.Warn("Entries took long to be applied.", zap.Duration("took", took), zap.Int("entries", entries),
			zap.Uint64("last", uint64(c.applied.Index)))
	}
}

func (c *Coordinator) setAppliedIndex(index recorder.Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedIndex = index
}

func (c *Coordinator) takeSnapshot() {
	s, ok := c.snapshot()
	if !ok {
		return
	}
	c.snapshotIndex = c.applied.Index
	c.bytesSinceSnapshot = 0
	c.metrics.snapshotsTaken.Inc()
	c.writer.put(job{snapshot: &s})
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
	c.metrics.snapshotsInstalled.Inc()
	c.setAppliedIndex(s.Position.Index)
	c.log.Info("Snapshot installed.", zap.Uint64("Index", uint64(s.Position.Index)), zap.Int("bytes", len(s.Data)))
}
