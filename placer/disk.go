package placer

import (
	"context"
	"crypto/rand"
	"errors"
	"path/filepath"
	"time"

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

// machine puts what is committed in force in this process, too.
type machine struct {
	*declarer.State
	view *declarer.View
	log  *zap.Logger
}

// Apply takes in one command.
func (m machine) Apply(index uint64, at time.Time, data []byte) any {
	answer := m.State.Apply(index, at, data)
	m.putInForce()
	return answer
}

func (m machine) putInForce() {
	before := m.view.Current()
	m.view.Set(m.Declared())
	if now := m.view.Current(); now != before {
		m.log.Info("Declaration is in force.", zap.Uint64("version", uint64(now)))
	}
}

// Restore replaces the whole state.
func (m machine) Restore(data []byte) error {
	err := m.State.Restore(data)
	if err == nil {
		m.putInForce()
	}
	return err
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
	c := coordinator.New(cfg, store, machine{state, parts.View, parts.Log.Named("replica")}, coordinator.Through(parts.Endpoint), parts.Clock, parts.Asserter, parts.Log)
	if err := c.Start(context.Background()); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return &disk{store: store, state: state, coordinator: c}, nil
}

// close ends the replica.
func (d *disk) close(ctx context.Context) error {
	return errors.Join(d.coordinator.Stop(ctx), d.store.Close())
}
