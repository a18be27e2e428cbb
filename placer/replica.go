package placer

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/coordinator"
	"celeryvalve/explainer"
	"celeryvalve/recorder"
	"celeryvalve/repairer"
	"celeryvalve/repeater"
	"celeryvalve/replicator"
	"celeryvalve/spreader"
)

// replica runs the control replica of this process. It starts once the disk is open, however long
// that takes, and the process works without it until then. It stops if the disk fails, and
// starts again once the disk can be opened: the disk then holds everything that the
// replica has acknowledged, or opening it returns an error.
type replica struct {
	deps       replicaDeps
	spreader   *spreader.Spreader
	repairer   *repairer.Repairer
	pinner     *pinner
	clock      clockwork.Clock
	log        *zap.Logger
	reconciler *repeater.Repeater

	// work holds the starts of nodes and the membership changes in progress.
	work             sync.WaitGroup
	mu               sync.Mutex
	node             *replicaNode // nil while the disk can't be used
	opening          bool
	leaving          bool // no node starts any more
	lastAttemptEnd   time.Time
	changeInProgress bool

	// exclusion and the logs are used only by the goroutine of reconcile.
	exclusion  *repairer.Exclusion
	leaderless leaderlessLog
	membership membershipLog
}

func newReplica(deps replicaDeps) *replica {
	cfg := repairer.NewConfig(deps.Placement.ToleratedLosses, deps.Placement.Bounds.CatchUp)
	r := &replica{
		deps:      deps,
		spreader:  deps.Spreader,
		repairer:  repairer.New(cfg),
		exclusion: repairer.NewExclusion(cfg),
		pinner:    newPinner(deps.Log),
		clock:     deps.Clock,
		log:       deps.Log.Named("replica"),
	}
	r.leaderless.log, r.membership.log = r.log, r.log
	r.reconciler = repeater.New(r.clock, replicaReconcileInterval, r.reconcile)
	deps.View.Watch(r.reconciler.Trigger) // a named release is pinned at once
	deps.Metrics.RegisterMetricsWriter(r.writeMetrics)
	return r
}

// writeMetrics writes the metrics of the running replica, which begin anew with each opened disk.
func (r *replica) writeMetrics(w io.Writer) {
	if node := r.currentNode(); node != nil {
		node.metrics.WritePrometheus(w)
	}
}

// startOpening opens the disk in the background, unless it is open, is being opened, or was
// tried less than reopenInterval ago.
func (r *replica) startOpening() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node != nil || r.opening || r.leaving || r.clock.Since(r.lastAttemptEnd) < reopenInterval {
		return
	}
	r.opening = true
	go r.open()
}

// open opens the disk and starts a node with it, unless the process leaves meanwhile.
func (r *replica) open() {
	begun := r.clock.Now()
	store, err := openStore(r.deps)
	if err != nil {
		r.endOpening(nil, err)
		return
	}
	r.log.Info("Opened the disk.", zap.Duration("took", r.clock.Since(begun)))
	if !r.startNode(store) {
		r.log.Info("Closed the disk since the process stops.", zap.Error(store.Close()))
	}
}

// startNode starts a node in the background, or returns false once the process leaves.
func (r *replica) startNode(store *recorder.Recorder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return false
	}
	r.work.Go(func() { r.endOpening(newNode(r.deps, store)) })
	return true
}

// endOpening takes up the node, which is nil if there is an error, or closes it if the process leaves.
func (r *replica) endOpening(node *replicaNode, err error) {
	if err != nil {
		r.log.Error("Can't open the disk; trying again.", zap.Error(err))
	}
	if r.setNode(node) || node == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r.log.Info("Closed a replica that had just started since the process stops.", zap.Error(node.close(ctx)))
}

// setNode ends the opening of the disk, and reports whether the node is the current one now.
func (r *replica) setNode(node *replicaNode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opening, r.lastAttemptEnd = false, r.clock.Now()
	if r.leaving {
		return false
	}
	r.node = node
	return true
}

// leave lets no further node start, and returns the current one, if any.
func (r *replica) leave() *replicaNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	return r.node
}

// closeNode stops a node whose disk has failed or must be emptied.
func (r *replica) closeNode(node *replicaNode, failure error) {
	if !r.removeNode(node) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r.log.Error("The replica ends and begins anew.", zap.NamedError("failure", failure), zap.Error(node.close(ctx)))
}

// removeNode reports whether the node was the current one, which it is no more.
func (r *replica) removeNode(node *replicaNode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node != node {
		return false
	}
	r.node, r.lastAttemptEnd = nil, r.clock.Now()
	return true
}

func (r *replica) currentNode() *replicaNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node
}

// start begins to open the disk.
func (r *replica) start(context.Context) error {
	r.startOpening()
	r.reconciler.Start()
	return nil
}

// stop stops the replica and what it does in the background. It does not wait for a disk that is being opened, nor
// longer than closeTimeout for one that is in use or being closed: what it holds outlives a crash.
func (r *replica) stop(ctx context.Context) error {
	r.leave()
	closed := make(chan error, 1)
	go func() { closed <- r.close(ctx) }()
	select {
	case err := <-closed:
		return err
	case <-r.clock.After(closeTimeout):
		r.log.Warn("The replica did not stop in time.")
		return nil
	}
}

// close waits for what is done in the background and closes the current node, if any.
func (r *replica) close(ctx context.Context) error {
	r.reconciler.Stop()
	r.work.Wait()
	node := r.currentNode()
	if node == nil {
		return nil
	}
	return node.close(ctx)
}

// Propose commits a command if this replica leads.
func (r *replica) Propose(ctx context.Context, data []byte) (any, error) {
	node := r.currentNode()
	if node == nil {
		return nil, explainer.New(explainer.Unavailable, "the disk of this replica can't be used", "ask another replica")
	}
	return node.coordinator.Propose(ctx, data)
}

// receive processes a message from another replica.
func (r *replica) receive(from netip.AddrPort, msg any) {
	if node := r.currentNode(); node != nil {
		node.coordinator.Receive(from, msg)
	}
}

// handOver gives up the leadership and, if there is a standby, the place among the voters
// before the process stops. No other node starts from then on: it would take part as if the process stayed.
func (r *replica) handOver(ctx context.Context) {
	node := r.leave()
	if node == nil {
		return
	}
	node.coordinator.AnnounceLeave()
	r.transferLeadership(ctx, node)
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for r.isReplaceable(node.coordinator.Status().Status) {
		select {
		case <-ctx.Done():
			r.log.Warn("No standby took the place of this replica in time.")
			return
		case <-r.clock.After(replicaReconcileInterval):
		}
	}
}

// isReplaceable reports whether the replica is a voter and a learner could take its place. A
// replica that was removed learns it from the list that the others pass on.
func (r *replica) isReplaceable(s replicator.Status) bool {
	if list := r.spreader.ReplicaList(); list.Index > uint64(s.MembershipIndex) && !slices.Contains(list.Disks, s.Replica) {
		return false
	}
	voter, learner := false, false
	for _, m := range s.Members {
		voter = voter || m.Replica == s.Replica && m.Voter
		learner = learner || !m.Voter || m.Replaces == s.Replica
	}
	return voter && learner
}

func (r *replica) transferLeadership(ctx context.Context, node *replicaNode) {
	if !node.coordinator.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := node.coordinator.TransferLeadership(ctx); err != nil {
		r.log.Info("Leadership not transferred.", zap.Error(err))
	}
}

// reconcile opens the disk again if that failed, publishes the list of replicas and, while this
// replica leads, repairs the membership and pins releases.
func (r *replica) reconcile(ctx context.Context) {
	r.startOpening()
	node := r.currentNode()
	if node == nil {
		r.spreader.SetReplicas(spreader.Replicas{})
		return
	}
	status := node.coordinator.Status()
	if status.Failure != nil {
		r.closeNode(node, status.Failure)
		return
	}
	node.coordinator.SetContacts(r.spreader.ReplicaAddresses())
	r.publishMembership(status.Status)
	r.leaderless.observe(r.clock.Now(), status.Status)
	r.membership.observe(r.clock.Now(), status.Status)
	if r.exclusion.Observe(r.clock.Now(), status.Status, r.newestMembership()) {
		r.resetDisk(node)
		return
	}
	if status.Role != replicator.Leader {
		return
	}
	r.repair(node, status.Status)
	r.pinner.startPinning(ctx, node)
}

// publishMembership publishes the list of replicas once it is committed.
func (r *replica) publishMembership(status replicator.Status) {
	if status.MembershipIndex > status.Commit {
		return
	}
	replicas := spreader.Replicas{Index: uint64(status.MembershipIndex), Led: status.LeaderAddr.IsValid()}
	for _, m := range status.Members {
		replicas.Disks = append(replicas.Disks, m.Replica)
		if !m.Standby {
			replicas.Addresses = append(replicas.Addresses, m.Addr)
		}
	}
	r.spreader.SetReplicas(replicas)
}

// repair starts the next membership change, if one is needed and none is in progress.
func (r *replica) repair(node *replicaNode, status replicator.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changeInProgress {
		return
	}
	action := r.repairer.Decide(r.clock.Now(), status)
	if action.Kind == repairer.None {
		return
	}
	r.changeInProgress = true
	r.work.Go(func() { r.changeMembership(node, action) })
}

func (r *replica) changeMembership(node *replicaNode, action repairer.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r.log.Info("Changing the set of replicas.", zap.String("kind", string(action.Kind)), zap.String("name", action.Name),
		zap.String("reason", action.Reason))
	var err error
	switch action.Kind {
	case repairer.Admit:
		err = node.coordinator.AdmitMember(ctx, action.Name)
	case repairer.AddStandby:
		err = node.coordinator.AddStandby(ctx, action.Name)
	case repairer.Replace:
		err = node.coordinator.ReplaceMember(ctx, action.Voter, action.Standby)
	case repairer.Remove:
		err = node.coordinator.RemoveMember(ctx, action.Name)
	}
	r.log.Info("Change of the set of replicas ended.", zap.String("kind", string(action.Kind)), zap.String("name", action.Name), zap.Error(err))
	r.mu.Lock()
	r.changeInProgress = false
	r.mu.Unlock()
	if err == nil {
		r.reconciler.Trigger()
	}
}

// Leadership returns the leader that this replica knows.
func (r *replica) Leadership() coordinator.Leadership {
	node := r.currentNode()
	if node == nil {
		return coordinator.Leadership{}
	}
	return node.coordinator.Leadership()
}

// document returns the declaration as the operator wrote it, or the leader's address if
// this replica does not lead.
func (r *replica) document(ctx context.Context) *DocumentAnswer {
	node := r.currentNode()
	if node == nil {
		return &DocumentAnswer{}
	}
	if err := node.coordinator.Barrier(ctx); err != nil {
		known := node.coordinator.Leadership()
		return &DocumentAnswer{Leader: known.Leader, Term: uint64(known.Term)}
	}
	return &DocumentAnswer{Known: true, Document: node.state.CompressedDocument()}
}
