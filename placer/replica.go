package placer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/repairer"
	"celeryvalve/repeater"
	"celeryvalve/replicator"
	"celeryvalve/spreader"
)

// replica is the control replica of this process. A disk that fails ends it, and
// it begins anew once the disk can be opened again: what the disk holds then is
// what it has acknowledged, or an error.
type replica struct {
	parts    replicaParts
	spreader *spreader.Spreader
	repairer *repairer.Repairer
	pinner   *pinner
	clock    clockwork.Clock
	log      *zap.Logger
	tending  *repeater.Repeater

	changes  sync.WaitGroup
	mu       sync.Mutex
	disk     *disk // nil while it can't be used
	openedAt time.Time
	changing bool

	// outcastSince is of the goroutine of tend only.
	outcastSince time.Time
}

func newReplica(parts replicaParts) *replica {
	r := &replica{
		parts:    parts,
		spreader: parts.Spreader,
		repairer: repairer.New(repairer.Config{
			Tolerated:      parts.Placement.ToleratedLosses,
			SilentAfter:    silentAfter,
			JoinerLifetime: joinerLifetime,
		}),
		pinner: newPinner(parts.Log),
		clock:  parts.Clock,
		log:    parts.Log.Named("replica"),
	}
	r.tending = repeater.New(r.clock, tendInterval, r.tend)
	return r
}

// open opens the disk, unless it was tried a short while ago.
func (r *replica) open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disk != nil || r.clock.Since(r.openedAt) < reopenInterval {
		return
	}
	r.openedAt = r.clock.Now()
	d, err := openDisk(r.parts)
	if err != nil {
		r.log.Error("The disk can't be used; it is tried again.", zap.Error(err))
		return
	}
	r.disk = d
}

// giveUp ends a replica whose disk has failed.
func (r *replica) giveUp(d *disk, failure error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disk != d {
		return
	}
	r.disk = nil
	r.openedAt = r.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r.log.Error("The replica ends and begins anew.", zap.NamedError("failure", failure), zap.Error(d.close(ctx)))
}

func (r *replica) current() *disk {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disk
}

// stop ends the replica.
func (r *replica) stop(ctx context.Context) error {
	r.tending.Stop()
	r.changes.Wait()
	if d := r.current(); d != nil {
		return d.close(ctx)
	}
	return nil
}

// Propose commits a command while this replica leads.
func (r *replica) Propose(ctx context.Context, data []byte) (any, error) {
	d := r.current()
	if d == nil {
		return nil, explainer.New(explainer.Unavailable, "the disk of this replica can't be used", "ask another replica")
	}
	return d.coordinator.Propose(ctx, data)
}

// receive takes in a message of another replica.
func (r *replica) receive(from netip.AddrPort, msg any) {
	if d := r.current(); d != nil {
		d.coordinator.Receive(from, msg)
	}
}

// handOver gives up the leadership before the process stops.
func (r *replica) handOver(ctx context.Context) {
	d := r.current()
	if d == nil || !d.coordinator.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := d.coordinator.TransferLeadership(ctx); err != nil {
		r.log.Info("Leadership not transferred.", zap.Error(err))
	}
}

// tend tells others where the replicas are, and repairs their set while this
// replica leads.
func (r *replica) tend(ctx context.Context) {
	r.open()
	d := r.current()
	if d == nil {
		r.spreader.SetReplicas(spreader.Replicas{})
		return
	}
	status := d.coordinator.Status()
	if status.Failure != nil {
		r.giveUp(d, status.Failure)
		return
	}
	d.coordinator.SetContacts(r.spreader.Replicas())
	r.tell(status.Status)
	if r.isOutcast(status.Status) {
		r.renew(d)
		return
	}
	if status.Role != replicator.Leader {
		return
	}
	r.repair(d, status.Status)
	r.pinner.pin(ctx, d)
}

// tell says where the replicas are, once that is committed.
func (r *replica) tell(status replicator.Status) {
	if status.Membership > status.Commit {
		return
	}
	replicas := spreader.Replicas{Index: uint64(status.Membership), Led: status.Addr.IsValid()}
	for _, m := range status.Members {
		replicas.Addresses = append(replicas.Addresses, m.Addr)
		replicas.Disks = append(replicas.Disks, m.Replica)
	}
	r.spreader.SetReplicas(replicas)
}

// repair begins the next change of the membership, if none is under way.
func (r *replica) repair(d *disk, status replicator.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changing {
		return
	}
	action := r.repairer.Decide(r.clock.Now(), status)
	if action.Kind == repairer.None {
		return
	}
	r.changing = true
	r.changes.Go(func() { r.change(d, action) })
}

func (r *replica) change(d *disk, action repairer.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r.log.Info("Changing the set of replicas.", zap.String("kind", string(action.Kind)), zap.String("name", action.Name),
		zap.String("reason", action.Reason))
	var err error
	switch action.Kind {
	case repairer.Admit:
		err = d.coordinator.AdmitMember(ctx, action.Name)
	case repairer.Remove:
		err = d.coordinator.RemoveMember(ctx, action.Name)
	}
	r.log.Info("Change of the set of replicas ended.", zap.String("kind", string(action.Kind)), zap.String("name", action.Name), zap.Error(err))
	r.mu.Lock()
	r.changing = false
	r.mu.Unlock()
}

// document returns the declaration as it was written, or who leads.
func (r *replica) document(ctx context.Context) *DocumentAnswer {
	d := r.current()
	if d == nil {
		return &DocumentAnswer{}
	}
	leader, _ := d.coordinator.Leader()
	if !d.coordinator.IsLeader() {
		return &DocumentAnswer{Leader: leader}
	}
	if err := d.coordinator.Barrier(ctx); err != nil {
		return &DocumentAnswer{}
	}
	return &DocumentAnswer{Known: true, Document: d.state.PackedDocument()}
}
