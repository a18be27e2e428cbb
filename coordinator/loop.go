package coordinator

import (
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// run feeds the reducer until the replica is stopped.
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

// step feeds one event and carries out the effects. A replica that has failed
// does neither.
func (c *Coordinator) step(event replicator.Event) {
	c.mu.Lock()
	if c.failure != nil {
		c.mu.Unlock()
		return
	}
	effects := c.reducer.Reduce(c.clock.Now(), event)
	c.mu.Unlock()
	for _, effect := range effects {
		c.carryOut(effect)
	}
}

func (c *Coordinator) carryOut(effect replicator.Effect) {
	switch e := effect.(type) {
	case replicator.Persist:
		c.writer.put(job{persist: e})
	case replicator.Send:
		c.transport.Send(e.To, e.Message)
	case replicator.Apply:
		c.apply(e.Entries)
	case replicator.Restore:
		c.restore(e.Snapshot)
	case replicator.Accepted:
		c.waiters.accept(e)
	case replicator.Completed:
		c.waiters.finish(e.ID, answer{})
	case replicator.Rejected:
		c.waiters.finish(e.ID, answer{err: rejection(e)})
	case replicator.RoleChanged:
		c.changeRole(e)
	case replicator.Announced:
		c.log.Warn("Replica with an empty data folder waits to be admitted.",
			zap.String("Name", e.Name), zap.String("Replica", string(e.Replica)), zap.Stringer("Addr", e.Addr))
	case replicator.Halted:
		c.fail(explainer.New(explainer.Internal, e.Detail, "keep the data folder for inspection and replace this replica"))
	}
}

func (c *Coordinator) changeRole(e replicator.RoleChanged) {
	c.mu.Lock()
	c.role = e
	c.mu.Unlock()
	c.meters.roleChanges.Inc()
	if e.Role != replicator.Leader {
		c.waiters.loseLeadership()
	}
	c.log.Info("Role changed.", zap.String("Role", string(e.Role)),
		zap.Uint64("Term", uint64(e.Term)), zap.Stringer("Leader", e.Leader))
	if c.cfg.OnRole != nil {
		c.cfg.OnRole(e)
	}
}

func (c *Coordinator) apply(entries []recorder.Entry) {
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
		c.reach(e.Index)
		c.meters.applied.Inc()
		c.bytes += identifier.ByteCount(len(e.Data))
		c.waiters.applied(e, result)
	}
	if int(c.applied.Index-c.snapshotAt) >= c.cfg.SnapshotEvery || c.bytes > snapshotBytes {
		c.takeSnapshot()
	}
}

func (c *Coordinator) reach(index recorder.Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached = index
}

func (c *Coordinator) takeSnapshot() {
	data, err := c.machine.Snapshot()
	if err != nil {
		c.fail(explainer.Wrap(err, explainer.Internal, "the state machine gave no snapshot", "restart this replica"))
		return
	}
	c.snapshotAt = c.applied.Index
	c.bytes = 0
	c.meters.snapshotsTaken.Inc()
	c.writer.put(job{snapshot: &recorder.Snapshot{
		Position:   c.applied,
		At:         c.appliedAt,
		Membership: c.membership.Clone(),
		Data:       data,
	}})
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
	c.snapshotAt = s.Position.Index
	c.meters.snapshotsInstalled.Inc()
	c.reach(s.Position.Index)
	c.log.Info("Snapshot installed.", zap.Uint64("Index", uint64(s.Position.Index)))
}
