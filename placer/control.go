package placer

import (
	"context"
	"crypto/rand"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	// electionTimeout is six heartbeats of the consensus, and leaves time for two
	// elections in a row within the second after which an operator moves on.
	electionTimeout = 600 * time.Millisecond
)

func controlModule() fx.Option {
	return fx.Options(
		fx.Provide(
			newRecorder,
			declarer.New,
			newCoordinator,
			newReplica,
			newMirror,
		),
		fx.Invoke(serveControl, serveMirror),
	)
}

func newRecorder(lc fx.Lifecycle, placement parser.Placement) (*recorder.Recorder, error) {
	cfg := recorder.Config{Folder: filepath.Join(placement.DataFolder, controlFolder), Name: placement.Inner.String()}
	store, err := recorder.Open(recorder.Disk{}, cfg, rand.Reader)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(store.Close))
	return store, nil
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

func newCoordinator(placement parser.Placement, store *recorder.Recorder, state *declarer.State, view *declarer.View,
	e *connector.Endpoint, clock clockwork.Clock, set *metrics.Set, a asserter.Asserter, log *zap.Logger) *coordinator.Coordinator {
	cfg := coordinator.Config{
		Name:            placement.Inner.String(),
		Addr:            placement.Inner,
		ElectionTimeout: electionTimeout,
		Metrics:         set,
	}
	if placement.FirstStart {
		for _, seed := range placement.Seeds {
			cfg.Members = append(cfg.Members, coordinator.Member{Name: seed.String(), Addr: seed})
		}
	}
	return coordinator.New(cfg, store, machine{state, view}, transport{e}, clock, a, log)
}

// replica is the control replica of this process.
type replica struct {
	state       *declarer.State
	coordinator *coordinator.Coordinator
	spreader    *spreader.Spreader
	repairer    *repairer.Repairer
	pinner      *pinner
	clock       clockwork.Clock
	log         *zap.Logger
	tending     *repeater.Repeater

	changes  sync.WaitGroup
	mu       sync.Mutex
	changing bool
}

func newReplica(placement parser.Placement, state *declarer.State, c *coordinator.Coordinator, s *spreader.Spreader,
	clock clockwork.Clock, log *zap.Logger) *replica {
	r := &replica{
		state:       state,
		coordinator: c,
		spreader:    s,
		repairer: repairer.New(repairer.Config{
			Tolerated:      placement.ToleratedLosses,
			SilentAfter:    silentAfter,
			JoinerLifetime: joinerLifetime,
		}),
		pinner: newPinner(state, c, log),
		clock:  clock,
		log:    log.Named("replica"),
	}
	r.tending = repeater.New(clock, tendInterval, r.tend)
	return r
}

// tend tells others where the replicas are, and repairs their set while this
// replica leads.
func (r *replica) tend(ctx context.Context) {
	status := r.coordinator.Status()
	r.coordinator.SetContacts(r.spreader.Replicas())
	replicas := spreader.Replicas{Index: uint64(status.Membership), Led: status.Addr.IsValid()}
	for _, m := range status.Members {
		replicas.Addresses = append(replicas.Addresses, m.Addr)
	}
	r.spreader.SetReplicas(replicas)
	if status.Role != replicator.Leader {
		return
	}
	r.repair(status.Status)
	r.pinner.pin(ctx)
}

// repair begins the next change of the membership, if none is under way.
func (r *replica) repair(status replicator.Status) {
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
	r.changes.Go(func() { r.change(action) })
}

func (r *replica) change(action repairer.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r.log.Info("Changing the set of replicas.", zap.String("kind", string(action.Kind)), zap.String("name", action.Name),
		zap.String("reason", action.Reason))
	var err error
	switch action.Kind {
	case repairer.Admit:
		err = r.coordinator.AdmitMember(ctx, action.Name)
	case repairer.Remove:
		err = r.coordinator.RemoveMember(ctx, action.Name)
	}
	r.log.Info("Change of the set of replicas ended.", zap.String("kind", string(action.Kind)), zap.String("name", action.Name), zap.Error(err))
	r.mu.Lock()
	r.changing = false
	r.mu.Unlock()
}

// document returns the declaration as it was written, or who leads.
func (r *replica) document(ctx context.Context) *DocumentAnswer {
	leader, _ := r.coordinator.Leader()
	if !r.coordinator.IsLeader() {
		return &DocumentAnswer{Leader: leader}
	}
	if err := r.coordinator.Barrier(ctx); err != nil {
		return &DocumentAnswer{}
	}
	return &DocumentAnswer{Known: true, Document: r.state.Document()}
}

func (r *replica) serveDocument(ctx context.Context, s *connector.Stream, _ any) {
	// A peer that went away asks again.
	_ = s.Send(r.document(ctx))
}

// controlParts are what serveControl ties together.
type controlParts struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Endpoint    *connector.Endpoint
	Coordinator *coordinator.Coordinator
	Replica     *replica
	Log         *zap.Logger
}

func serveControl(parts controlParts) {
	for _, entry := range coordinator.Messages() {
		parts.Endpoint.Handle(entry.Kind(), receiveReplicas(parts.Coordinator, parts.Log))
	}
	server := submitter.NewServer(parts.Coordinator, permit, parts.Log)
	parts.Endpoint.Handle(submitter.Kind, server.Serve)
	parts.Endpoint.Handle(readDocumentKind, parts.Replica.serveDocument)
	parts.Lifecycle.Append(fx.StartStopHook(parts.Coordinator.Start, parts.Coordinator.Stop))
	parts.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { parts.Replica.tending.Start(); return nil },
		OnStop: func(context.Context) error {
			parts.Replica.tending.Stop()
			parts.Replica.changes.Wait()
			return nil
		},
	})
}

// receiveReplicas hands the messages of other replicas to the coordinator.
func receiveReplicas(c *coordinator.Coordinator, log *zap.Logger) connector.Handler {
	return func(ctx context.Context, s *connector.Stream, first any) {
		if !s.Peer().Has(certifier.Control) {
			log.Warn("Refused a replica without the role Control.", zap.String("peer", s.Peer().Name))
			return
		}
		for msg, err := first, error(nil); err == nil; msg, err = s.Receive(ctx) {
			c.Receive(s.Peer().Address, msg)
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
