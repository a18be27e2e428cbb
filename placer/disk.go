package placer

import (
	"context"
	"crypto/rand"
	"errors"
	"path/filepath"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/declarer"
	"celeryvalve/parser"
	"celeryvalve/recorder"
	"celeryvalve/spreader"
)

// stateMachine applies committed commands, and updates the view of this process once for those that are
// applied together.
type stateMachine struct {
	*declarer.State
	view     *declarer.View
	spreader *spreader.Spreader
	clock    clockwork.Clock
	log      *zap.Logger

	// departuresSpread is the index of the last departure that the spreader got.
	departuresSpread uint64
}

var _ coordinator.Publisher = (*stateMachine)(nil)

// Publish updates the view of this process after one or more commands.
func (m *stateMachine) Publish() {
	m.updateView()
	m.spreadDepartures()
}

func (m *stateMachine) updateView() {
	before := m.view.CurrentVersion()
	m.view.Set(m.Declared())
	m.spreader.SetQuarantine(m.Quarantine())
	if now := m.view.CurrentVersion(); now != before {
		m.log.Info("Declaration is in force.", zap.Uint64("version", uint64(now)))
	}
}

// Restore replaces the whole state with a snapshot.
func (m *stateMachine) Restore(data []byte) error {
	err := m.State.Restore(data)
	if err == nil {
		m.Publish()
	}
	return err
}

// replicaDeps holds the dependencies of a replica. They are used again each time its
// disk is opened.
type replicaDeps struct {
	fx.In

	Placement parser.Placement
	View      *declarer.View
	Endpoint  *connector.Endpoint
	Spreader  *spreader.Spreader
	Asserter  asserter.Asserter
	Clock     clockwork.Clock
	Metrics   *metrics.Set
	Log       *zap.Logger
	// FileSystem holds the disk.
	FileSystem recorder.FileSystem
}

func newFileSystem() recorder.FileSystem { return recorder.OSFileSystem{} }

// replicaNode is a running replica with its open disk.
type replicaNode struct {
	store       *recorder.Recorder
	state       *declarer.State
	coordinator *coordinator.Coordinator
	metrics     *metrics.Set
}

// openStore opens the disk, which takes as long as its syncs.
func openStore(deps replicaDeps) (*recorder.Recorder, error) {
	folder := filepath.Join(deps.Placement.DataFolder, controlFolder)
	return recorder.Open(deps.FileSystem, recorder.Config{Folder: folder, Name: deps.Placement.InternalAddress.String()}, rand.Reader)
}

// newNode starts a replica with the state that the store holds. It closes the store if that fails.
func newNode(deps replicaDeps, store *recorder.Recorder) (*replicaNode, error) {
	placement := deps.Placement
	cfg := coordinator.Config{
		Name:            placement.InternalAddress.String(),
		Addr:            placement.InternalAddress,
		ElectionTimeout: electionTimeout,
		Metrics:         metrics.NewSet(),
	}
	if placement.FirstStart {
		for _, seed := range placement.Seeds {
			cfg.Members = append(cfg.Members, coordinator.Member{Name: seed.String(), Addr: seed})
		}
	}
	state := declarer.New(deps.Asserter)
	machine := &stateMachine{State: state, view: deps.View, spreader: deps.Spreader, clock: deps.Clock, log: deps.Log.Named("replica")}
	c := coordinator.New(cfg, store, machine, coordinator.NewTransport(deps.Endpoint), deps.Clock, deps.Asserter, deps.Log)
	if err := c.Start(context.Background()); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return &replicaNode{store: store, state: state, coordinator: c, metrics: cfg.Metrics}, nil
}

// close stops the replica and closes the disk.
func (n *replicaNode) close(ctx context.Context) error {
	return errors.Join(n.coordinator.Stop(ctx), n.store.Close())
}
