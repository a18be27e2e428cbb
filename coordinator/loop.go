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

// step feeds one event to the reducer, executes the effects and takes a snapshot if one
// is due. It does nothing once the replica has failed.
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
	c.snapshotIfDue()
}

func (c *Coordinator) execute(effect replicator.Effect) {
	switch e := effect.(type) {
	case replicator.Persist:
		c.writer.put(e)
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

// apply applies the entries and publishes the state once. Their proposers get their answers
// after that.
func (c *Coordinator) apply(entries []recorder.Entry) {
	start := c.clock.Now()
	defer func() { c.observeApply(len(entries), c.clock.Since(start)) }()
	results := make([]any, len(entries))
	commands := 0
	for i, e := range entries {
		switch e.Kind {
		case recorder.Command:
			results[i] = c.machine.Apply(uint64(e.Index), e.At.UTC(), e.Data)
			commands++
		case recorder.MembershipChange:
			c.membership = *e.Membership
		case recorder.Noop:
		}
		c.applied = e.Position()
		c.appliedAt = e.At
		c.metrics.applied.Inc()
		c.setLogBytes(c.bytesSinceSnapshot + identifier.ByteCount(len(e.Data)))
	}
	if p, ok := c.machine.(Publisher); ok && commands > 0 {
		p.Publish()
	}
	c.setAppliedIndex(c.applied.Index)
	for i, e := range entries {
		c.waiters.applied(e, results[i])
	}
}

func (c *Coordinator) observeApply(entries int, took time.Duration) {
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
