package placer

import (
	"context"
	"crypto/rand"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/parser"
	"celeryvalve/recorder"
	"celeryvalve/repairer"
	"celeryvalve/repeater"
	"celeryvalve/replicator"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

const (
	controlFolder = "control"
	// tendInterval is how often the replica's neighbours are looked at.
	tendInterval = 200 * time.Millisecond
	// silentAfter is for how long a voter is waited for: longer than freezes,
	// restarts and cuts that heal by themselves.
	silentAfter = 10 * time.Second
	// joinerLifetime is for how long an announcement of a new replica counts; they
	// are repeated with every heartbeat of the consensus.
	joinerLifetime = time.Second
	changeTimeout  = 5 * time.Second
	// reopenInterval is how often a disk that failed is tried again.
	reopenInterval  = 3 * time.Second
	handOverTimeout = time.Second
	// outcastFolder holds what is removed, so that no part of it is taken for a disk.
	outcastFolder = "control-removed"
	// outcastPatience is for how long a replica waits for a leader that counts on it.
	outcastPatience = 5 * time.Second
	// electionTimeout is six heartbeats of the consensus, and leaves time for two
	// elections in a row within the second after which an operator moves on.
	electionTimeout = 600 * time.Millisecond
)

func controlModule() fx.Option {
	return fx.Options(
		fx.Provide(newReplica, newMirror),
		fx.Invoke(serveControl, serveMirror),
	)
}

// machine puts what is committed in force in this process, too.
type machine struct {
	*declarer.State
	view *declarer.View
}

// Apply takes in one command.
func (m machine) Apply(index uint64, at time.Time, data []byte) any {
	answer := m.State.Apply(index, at, data)
	m.view.Set(m.Declared())
	return answer
}

// Restore replaces the whole state.
func (m machine) Restore(data []byte) error {
	err := m.State.Restore(data)
	if err == nil {
		m.view.Set(m.Declared())
	}
	return err
}

// transport sends the messages between replicas.
type transport struct {
	endpoint *connector.Endpoint
}

// Send sends the message or drops it.
func (t transport) Send(to netip.AddrPort, msg any) {
	t.endpoint.Post(to, msg)
}

// replicaParts are what a replica is made of, each time that its disk is opened.
type replicaParts struct {
	fx.In

	Placement parser.Placement
	View      *declarer.View
	Endpoint  *connector.Endpoint
	Spreader  *spreader.Spreader
	Asserter  asserter.Asserter
	Clock     clockwork.Clock
	Log       *zap.Logger
}

// disk is a replica while its disk works.
type disk struct {
	store       *recorder.Recorder
	state       *declarer.State
	coordinator *coordinator.Coordinator
}

// openDisk starts a replica from what the disk holds.
func openDisk(parts replicaParts) (*disk, error) {
	placement := parts.Placement
	folder := filepath.Join(placement.DataFolder, controlFolder)
	store, err := recorder.Open(recorder.Disk{}, recorder.Config{Folder: folder, Name: placement.Inner.String()}, rand.Reader)
	if err != nil {
		return nil, err
	}
	cfg := coordinator.Config{
		Name:            placement.Inner.String(),
		Addr:            placement.Inner,
		ElectionTimeout: electionTimeout,
	}
	if placement.FirstStart {
		for _, seed := range placement.Seeds {
			cfg.Members = append(cfg.Members, coordinator.Member{Name: seed.String(), Addr: seed})
		}
	}
	state := declarer.New(parts.Asserter)
	c := coordinator.New(cfg, store, machine{state, parts.View}, transport{parts.Endpoint}, parts.Clock, parts.Asserter, parts.Log)
	if err := c.Start(context.Background()); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return &disk{store: store, state: state, coordinator: c}, nil
}

// close ends the replica.
func (d *disk) close(ctx context.Context) error {
	return errors.Join(d.coordinator.Stop(ctx), d.store.Close())
}

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

// isOutcast reports whether this replica has heard for a while that it is none of
// the members, and hears no leader itself.
func (r *replica) isOutcast(status replicator.Status) bool {
	known := r.spreader.Membership()
	committed := repairer.Committed{Index: recorder.Index(known.Index), Replicas: known.Disks}
	now := r.clock.Now()
	if status.Addr.IsValid() || !repairer.IsOutcast(status, committed) {
		r.outcastSince = time.Time{}
		return false
	}
	if r.outcastSince.IsZero() {
		r.outcastSince = now
	}
	return now.Sub(r.outcastSince) >= outcastPatience
}

// renew begins anew with an empty disk.
func (r *replica) renew(d *disk) {
	r.giveUp(d, explainer.New(explainer.Fenced, "this replica is no longer a member", "none: it joins again with an empty disk"))
	folder := filepath.Join(r.parts.Placement.DataFolder, controlFolder)
	old := filepath.Join(r.parts.Placement.DataFolder, outcastFolder)
	err := errors.Join(os.RemoveAll(old), os.Rename(folder, old))
	if err == nil {
		err = os.RemoveAll(old)
	}
	r.log.Warn("Emptied the disk of a replica that is no longer a member.", zap.Error(err))
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

func (r *replica) serveDocument(ctx context.Context, s *connector.Stream, _ any) {
	// A peer that went away asks again.
	_ = s.Send(r.document(ctx))
}

func serveControl(lc fx.Lifecycle, e *connector.Endpoint, r *replica, log *zap.Logger) {
	for _, entry := range coordinator.Messages() {
		e.Handle(entry.Kind(), receiveReplicas(r, log))
	}
	e.Handle(submitter.Kind, submitter.NewServer(r, permit, log).Serve)
	e.Handle(readDocumentKind, r.serveDocument)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			r.open()
			r.tending.Start()
			return nil
		},
		OnStop: r.stop,
	})
}

// receiveReplicas hands the messages of other replicas on.
func receiveReplicas(r *replica, log *zap.Logger) connector.Handler {
	return func(ctx context.Context, s *connector.Stream, first any) {
		if !s.Peer().Has(certifier.Control) {
			log.Warn("Refused a replica without the role Control.", zap.String("peer", s.Peer().Name))
			return
		}
		for msg, err := first, error(nil); err == nil; msg, err = s.Receive(ctx) {
			r.receive(s.Peer().Address, msg)
		}
	}
}

// permit lets entries and replicas declare; an agent declares nothing.
func permit(peer connector.Peer, _ []byte) error {
	if peer.Has(certifier.Entry) || peer.Has(certifier.Control) {
		return nil
	}
	return explainer.New(explainer.Denied, "an agent may not declare anything", "send operators' calls to an entry")
}
