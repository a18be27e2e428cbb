package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// ticksPerHeartbeat is the number of ticks that the reducer gets in each
// heartbeat interval.
const ticksPerHeartbeat = 4

// Coordinator runs one control replica. It is safe for concurrent use.
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
	metrics *replicaMetrics
	stop    chan struct{}
	running sync.WaitGroup

	// After Start, only the goroutine of run uses the fields from here to
	// bytesSinceSnapshot. applied and appliedAt are the position and the proposal
	// time of the last applied entry.
	membership    recorder.Membership
	applied       recorder.Position
	appliedAt     time.Time
	snapshotIndex recorder.Index
	// snapshotBytes is the size of the last snapshot, and bytesSinceSnapshot that of the
	// commands applied since.
	snapshotBytes      identifier.ByteCount
	bytesSinceSnapshot identifier.ByteCount
	// logBytes is bytesSinceSnapshot for the metrics.
	logBytes atomic.Int64

	// mu guards the fields below.
	mu           sync.Mutex
	reducer      *replicator.Replicator
	role         replicator.RoleChanged
	appliedIndex recorder.Index
	failure      error
	started      bool
	stopped      bool
}

// New returns a replica that takes no part in the cluster until Start is called.
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
	c.metrics = newMetrics(c)
	c.inbox = newInbox(c.metrics.dropped)
	c.writer = newWriter(store, clock, c.metrics, c.log, c.inbox.put, c.fail)
	return c
}

// Start restores the state machine from the snapshot on the disk, if there is
// one, and starts the replica. It fails if the replica was already started.
func (c *Coordinator) Start(_ context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		return explainer.New(explainer.Conflict, "the replica was already started", "create a new Coordinator")
	}
	state := c.store.State()
	if s := state.Snapshot; s != nil {
		if err := c.machine.Restore(s.Data); err != nil {
			return explainer.Wrap(err, explainer.Corrupt, "the snapshot on the disk can't be restored",
				"run a release that can read it, or replace this replica")
		}
		c.applied = s.Position
		c.appliedAt = s.At
		c.membership = s.Membership
		c.snapshotIndex = s.Position.Index
		c.snapshotBytes = identifier.ByteCount(len(s.Data))
		c.appliedIndex = s.Position.Index
	}
	c.reducer = replicator.New(c.cfg.replicator(c.store), state, c.assert)
	c.started = true
	c.log.Info("Replica started.",
		zap.String("Replica", string(c.store.Replica())),
		zap.Uint64("Snapshot", uint64(c.snapshotIndex)),
		zap.Int("Entries", len(state.Entries)))
	if state.Snapshot == nil && len(state.Entries) == 0 {
		c.log.Info("Data folder is empty; waiting until every configured replica responds or the leader admits this one.")
	}
	c.running.Go(c.run)
	c.running.Go(func() { c.writer.run(c.stop) })
	return nil
}

// Stop stops the replica and fails the requests that are still pending. If the
// replica is the leader, it first tries to transfer the leadership until ctx is
// done. The recorder stays open.
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

// Receive queues a message from another replica for the reducer. It ignores
// values that are not a replicator.Message.
func (c *Coordinator) Receive(_ netip.AddrPort, msg any) {
	if m, ok := msg.(replicator.Message); ok {
		c.inbox.put(replicator.Received{Message: m})
	}
}

// Propose replicates the command and returns the state machine's result once the
// command is committed and applied on this replica. After a *NotLeaderError or
// another error of kind Unavailable the command has no effect. After an
// *OutcomeUnknownError it may still take effect.
func (c *Coordinator) Propose(ctx context.Context, data []byte) (any, error) {
	return c.request(ctx, true, func(id replicator.RequestID) replicator.Event {
		return replicator.Proposed{Proposals: []replicator.Proposal{{ID: id, Data: data}}}
	})
}

// Barrier returns nil once a majority has confirmed that this replica is the
// leader and its state machine holds every entry that was committed before the
// call. It works on the leader only.
func (c *Coordinator) Barrier(ctx context.Context) error {
	_, err := c.request(ctx, false, func(id replicator.RequestID) replicator.Event {
		return replicator.ReadRequested{ID: id}
	})
	return err
}

// AdmitMember adds the new replica that announced itself under the name, first
// as a learner, and returns once its vote is committed. It may still be learning the
// state then. An existing member of the same name, whose disk was lost, is removed before the
// new replica becomes a voter. AdmitMember works on the leader only.
func (c *Coordinator) AdmitMember(ctx context.Context, name string) error {
	return c.changeMembership(ctx, func(id replicator.RequestID) replicator.Event {
		return replicator.AdmitRequested{ID: id, Name: name}
	})
}

// AddStandby adds the new replica that announced itself under the name as a standby: a
// learner that has no vote until ReplaceMember gives it one. It works on the leader only.
func (c *Coordinator) AddStandby(ctx context.Context, name string) error {
	return c.changeMembership(ctx, func(id replicator.RequestID) replicator.Event {
		return replicator.AdmitRequested{ID: id, Name: name, Standby: true}
	})
}

// ReplaceMember gives the place of the voter to the standby, and returns once the standby
// is a voter and the other one is no member any more. If voter is
// empty, the standby becomes a further voter. It works on the leader only.
func (c *Coordinator) ReplaceMember(ctx context.Context, voter, standby identifier.Replica) error {
	return c.changeMembership(ctx, func(id replicator.RequestID) replicator.Event {
		return replicator.ReplaceRequested{ID: id, Voter: voter, Standby: standby}
	})
}

// RemoveMember removes the member of that name. If a learner has the name, it
// cancels the admission of the learner instead. It works on the leader only.
func (c *Coordinator) RemoveMember(ctx context.Context, name string) error {
	return c.changeMembership(ctx, func(id replicator.RequestID) replicator.Event {
		return replicator.RemoveRequested{ID: id, Name: name}
	})
}

// changeMembership requests a membership change and measures those that succeed.
func (c *Coordinator) changeMembership(ctx context.Context, event func(replicator.RequestID) replicator.Event) error {
	start := c.clock.Now()
	_, err := c.request(ctx, true, event)
	if err == nil {
		c.metrics.changeSeconds.Update(c.clock.Since(start).Seconds())
	}
	return err
}

// AnnounceLeave tells the leader that this replica is about to stop, so that a standby can
// take its place.
func (c *Coordinator) AnnounceLeave() {
	c.inbox.put(replicator.LeaveAnnounced{})
}

// SetContacts sets the addresses to which this replica announces itself while
// its disk is empty, in addition to those of Config.Members.
func (c *Coordinator) SetContacts(addrs []netip.AddrPort) {
	c.inbox.put(replicator.ContactsChanged{Addrs: addrs})
}

// TransferLeadership transfers the leadership to the reachable voter that has
// synced the most of the log. It works on the leader only.
func (c *Coordinator) TransferLeadership(ctx context.Context) error {
	_, err := c.request(ctx, false, func(id replicator.RequestID) replicator.Event {
		return replicator.TransferRequested{ID: id}
	})
	return err
}

// Leadership returns the leader that this replica knows. One that has failed or is stopping names none.
func (c *Coordinator) Leadership() Leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := Leadership{Leader: c.role.Leader, Term: c.role.Term}
	if c.failure != nil || c.stopped {
		known.Leader = netip.AddrPort{}
	}
	return known
}

// Leader returns the address at which the leader receives messages, and whether
// the leader is known.
func (c *Coordinator) Leader() (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role.Leader, c.role.Leader.IsValid()
}

// IsLeader reports whether this replica is the leader as far as it knows. A
// newer leader may already exist: only a successful Barrier or Propose proves
// the leadership.
func (c *Coordinator) IsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role.Role == replicator.Leader && c.failure == nil && !c.stopped
}

// Term returns the replica's current Raft term.
func (c *Coordinator) Term() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(c.role.Term)
}

// Status returns the state of the replica for operators.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Applied: c.appliedIndex, Failure: c.failure}
	if c.reducer != nil {
		s.Status = c.reducer.Status()
	}
	return s
}

// request queues an event for the reducer and waits for the response. If ctx ends
// or the replica stops first, a mutating request returns an OutcomeUnknownError
// and any other request an error of kind Unavailable.
func (c *Coordinator) request(ctx context.Context, mutating bool, event func(replicator.RequestID) replicator.Event) (any, error) {
	w := c.waiters.add()
	if err := c.checkRunning(); err != nil {
		c.waiters.remove(w.id)
		return nil, err
	}
	c.inbox.put(event(w.id))
	select {
	case r := <-w.response:
		return r.result, r.err
	case <-ctx.Done():
	case <-c.stop:
	}
	c.waiters.remove(w.id)
	select {
	case r := <-w.response:
		return r.result, r.err
	default:
	}
	if mutating {
		c.inbox.put(replicator.Withdrawn{ID: w.id})
		return nil, newOutcomeUnknownError(0, 0, ctx.Err())
	}
	return nil, explainer.New(explainer.Unavailable, "no majority of replicas answered in time",
		"try again once a majority of replicas can reach each other")
}

func (c *Coordinator) checkRunning() error {
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

// fail stops the replica permanently. Pending and later requests fail, so that
// nothing more is acknowledged. Only the first call has an effect.
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
