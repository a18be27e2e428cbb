package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// ticksPerHeartbeat is how often the reducer sees the time go on.
const ticksPerHeartbeat = 4

// Coordinator runs one replica. It is safe for concurrent use.
type Coordinator struct {
	cfg       Config
	store     *recorder.Recorder
	machine   StateMachine
	transport Transport
	clock     clockwork.Clock
	assert    asserter.Asserter
	log       *zap.Logger

	inbox   *inbox
	writer  *writer
	waiters *waiters
	meters  *meters
	stop    chan struct{}
	running sync.WaitGroup

	// Of the loop's goroutine only.
	membership recorder.Membership
	applied    recorder.Position
	appliedAt  time.Time
	snapshotAt recorder.Index
	// bytes is the size of the commands applied since the last snapshot.
	bytes identifier.ByteCount

	// mu guards the fields below.
	mu      sync.Mutex
	reducer *replicator.Replicator
	role    replicator.RoleChanged
	reached recorder.Index
	failure error
	started bool
	stopped bool
}

// New returns a replica that does nothing before Start.
func New(cfg Config, store *recorder.Recorder, sm StateMachine, transport Transport,
	clock clockwork.Clock, assert asserter.Asserter, logger *zap.Logger) *Coordinator {
	c := &Coordinator{
		cfg:       cfg.withDefaults(),
		store:     store,
		machine:   sm,
		transport: transport,
		clock:     clock,
		assert:    assert,
		log:       logger.Named("coordinator"),
		waiters:   newWaiters(),
		stop:      make(chan struct{}),
	}
	c.meters = newMeters(c)
	c.inbox = newInbox(c.meters.dropped)
	c.writer = newWriter(store, clock, c.meters.syncSeconds, c.inbox.put, c.fail)
	return c
}

// Start restores the state machine from the disk and begins to take part.
func (c *Coordinator) Start(_ context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		return explainer.New(explainer.Conflict, "the replica was started before", "make a new one")
	}
	state := c.store.State()
	if s := state.Snapshot; s != nil {
		if err := c.machine.Restore(s.Data); err != nil {
			return explainer.Wrap(err, explainer.Corrupt, "the snapshot can't be restored",
				"run a release that can read it, or replace this replica")
		}
		c.applied = s.Position
		c.appliedAt = s.At
		c.membership = s.Membership
		c.snapshotAt = s.Position.Index
		c.reached = s.Position.Index
	}
	c.reducer = replicator.New(c.cfg.replicator(c.store), state, c.assert)
	c.started = true
	c.log.Info("Replica started.",
		zap.String("Replica", string(c.store.Replica())),
		zap.Uint64("Snapshot", uint64(c.snapshotAt)),
		zap.Int("Entries", len(state.Entries)))
	if state.Snapshot == nil && len(state.Entries) == 0 {
		c.log.Info("Data folder is empty; waiting for every replica of the settings, or to be admitted.")
	}
	c.running.Go(c.run)
	c.running.Go(func() { c.writer.run(c.stop) })
	return nil
}

// Stop hands over the leadership while ctx lasts, and ends the replica. The
// recorder stays open.
func (c *Coordinator) Stop(ctx context.Context) error {
	if c.IsLeader() && ctx.Err() == nil {
		if err := c.TransferLeadership(ctx); err != nil {
			c.log.Info("Leadership not transferred.", zap.Error(err))
		}
	}
	c.mu.Lock()
	if c.stopped || !c.started {
		c.mu.Unlock()
		return nil
	}
	c.stopped = true
	c.mu.Unlock()
	close(c.stop)
	c.running.Wait()
	c.waiters.failAll(explainer.New(explainer.Unavailable, "this replica is stopping", "ask another replica"))
	return nil
}

// Receive takes in a message of another replica.
func (c *Coordinator) Receive(_ netip.AddrPort, msg any) {
	if m, ok := msg.(replicator.Message); ok {
		c.inbox.put(replicator.Received{Message: m})
	}
}

// Propose returns what the state machine answers to the command, once it is
// committed and applied here. Errors are a *NotLeaderError or of kind
// Unavailable where nothing was done, and an *OutcomeUnknownError otherwise.
func (c *Coordinator) Propose(ctx context.Context, data []byte) (any, error) {
	return c.request(ctx, true, func(id replicator.RequestID) replicator.Event {
		return replicator.Proposed{Proposals: []replicator.Proposal{{ID: id, Data: data}}}
	})
}

// Barrier returns once the state machine holds all that was committed before
// the call, confirmed by a majority. It works on the leader only.
func (c *Coordinator) Barrier(ctx context.Context) error {
	_, err := c.request(ctx, false, func(id replicator.RequestID) replicator.Event {
		return replicator.ReadRequested{ID: id}
	})
	return err
}

// AdmitMember makes the new replica that waits under the name a member and
// returns once it votes and has synced the log. A member of the same name, whose
// disk was lost, leaves on the way. It works on the leader only.
func (c *Coordinator) AdmitMember(ctx context.Context, name string) error {
	_, err := c.request(ctx, true, func(id replicator.RequestID) replicator.Event {
		return replicator.AdmitRequested{ID: id, Name: name}
	})
	return err
}

// RemoveMember removes the member of that name, or takes back its admission
// while it is a learner. It works on the leader only.
func (c *Coordinator) RemoveMember(ctx context.Context, name string) error {
	_, err := c.request(ctx, true, func(id replicator.RequestID) replicator.Event {
		return replicator.RemoveRequested{ID: id, Name: name}
	})
	return err
}

// SetContacts gives addresses at which a replica with an empty disk announces
// itself, beside those of the first start.
func (c *Coordinator) SetContacts(addrs []netip.AddrPort) {
	c.inbox.put(replicator.ContactsChanged{Addrs: addrs})
}

// TransferLeadership hands over to the follower that is least behind.
func (c *Coordinator) TransferLeadership(ctx context.Context) error {
	_, err := c.request(ctx, false, func(id replicator.RequestID) replicator.Event {
		return replicator.TransferRequested{ID: id}
	})
	return err
}

// Leader returns where the leader takes messages, if it is known.
func (c *Coordinator) Leader() (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role.Leader, c.role.Leader.IsValid()
}

// IsLeader reports whether this replica leads, as far as it knows. Only Barrier
// or a committed proposal proves it.
func (c *Coordinator) IsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role.Role == replicator.Leader && c.failure == nil && !c.stopped
}

// Term returns the replica's term.
func (c *Coordinator) Term() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(c.role.Term)
}

// Status returns the state of the replica for operators.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Applied: c.reached, Failure: c.failure}
	if c.reducer != nil {
		s.Status = c.reducer.Status()
	}
	return s
}

// request feeds an event and waits for its answer. Where the caller gives up on
// a change, its outcome is not known.
func (c *Coordinator) request(ctx context.Context, changes bool, event func(replicator.RequestID) replicator.Event) (any, error) {
	w := c.waiters.add()
	if err := c.usable(); err != nil {
		c.waiters.forget(w.id)
		return nil, err
	}
	c.inbox.put(event(w.id))
	select {
	case a := <-w.answer:
		return a.result, a.err
	case <-ctx.Done():
	case <-c.stop:
	}
	c.waiters.forget(w.id)
	select {
	case a := <-w.answer:
		return a.result, a.err
	default:
	}
	if changes {
		return nil, newOutcomeUnknownError(0, 0, ctx.Err())
	}
	return nil, explainer.New(explainer.Unavailable, "no majority of replicas answered in time",
		"try again once a majority of replicas can reach each other")
}

func (c *Coordinator) usable() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return c.failure
	}
	if !c.started || c.stopped {
		return newNotLeaderError(netip.AddrPort{})
	}
	return nil
}

// fail stops the replica for good. Nothing is acknowledged any more.
func (c *Coordinator) fail(err error) {
	c.mu.Lock()
	first := c.failure == nil
	if first {
		c.failure = err
	}
	c.mu.Unlock()
	if !first {
		return
	}
	c.log.Error("Replica stopped for good.", zap.Error(err))
	c.waiters.failAll(err)
}
