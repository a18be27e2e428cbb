package assembler

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/administrator"
	"celeryvalve/asserter"
	"celeryvalve/certifier"
	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/controller"
	"celeryvalve/coordinator"
	"celeryvalve/explainer"
	"celeryvalve/parser"
	"celeryvalve/publisher"
	"celeryvalve/quarantiner"
	"celeryvalve/recorder"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

const controlFolder = "control"

func controlOptions() fx.Option {
	return fx.Options(
		fx.Provide(
			newRecorder,
			controller.New,
			newCoordinator,
			newPublisher,
			newLeaseKeeper,
			newAdministrator,
		),
		fx.Invoke(serveControl),
	)
}

// stateMachine notifies the publisher of every change of the replicated state.
type stateMachine struct {
	*controller.State
	onChange func()
}

// Apply applies one command of the log.
func (m *stateMachine) Apply(index uint64, at time.Time, data []byte) any {
	result := m.State.Apply(index, at, data)
	m.onChange()
	return result
}

// Restore replaces the whole state by that of a snapshot.
func (m *stateMachine) Restore(data []byte) error {
	err := m.State.Restore(data)
	m.onChange()
	return err
}

// replicaParts holds the components of a replica that is not started yet.
type replicaParts struct {
	fx.Out

	Machine     *stateMachine
	Coordinator *coordinator.Coordinator
}

func newRecorder(lc fx.Lifecycle, settings parser.Settings) (*recorder.Recorder, error) {
	cfg := recorder.Config{Folder: filepath.Join(settings.DataFolder, controlFolder), Name: settings.Name}
	store, err := recorder.Open(recorder.OSFileSystem{}, cfg, rand.Reader)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(store.Close))
	return store, nil
}

func newCoordinator(settings parser.Settings, store *recorder.Recorder, state *controller.State, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, a asserter.Asserter, logger *zap.Logger) replicaParts {
	m := &stateMachine{State: state, onChange: func() {}}
	cfg := coordinator.Config{Name: settings.Name, Addr: settings.Address(), Metrics: set}
	for _, member := range settings.Control.Members {
		cfg.Members = append(cfg.Members, coordinator.Member{Name: member.Name, Addr: member.Address})
	}
	return replicaParts{
		Machine:     m,
		Coordinator: coordinator.New(cfg, store, m, coordinator.NewTransport(e), clock, a, logger),
	}
}

// appliedState adapts the replicated state to what the publisher reads.
type appliedState struct {
	*controller.State
}

// MembersSince returns the members that changed after the index.
func (s appliedState) MembersSince(index uint64) subscriber.MembersUpdate {
	delta := s.State.MembersSince(controller.Index(index))
	update := subscriber.MembersUpdate{Index: uint64(delta.Index), Whole: delta.Whole, Removed: delta.Removed}
	for _, m := range delta.Members {
		update.Changed = append(update.Changed, memberOf(m))
	}
	return update
}

// Quarantine returns the fingerprints of the requests that are suspected of crashing
// upstreams, and of those that are refused for it.
func (s appliedState) Quarantine() subscriber.Quarantine {
	suspects := s.Suspects()
	quarantine := subscriber.Quarantine{Index: uint64(suspects.Index)}
	for _, suspect := range suspects.List {
		if suspect.Refused {
			quarantine.Refused = append(quarantine.Refused, uint64(suspect.Fingerprint))
		} else {
			quarantine.Suspects = append(quarantine.Suspects, uint64(suspect.Fingerprint))
		}
	}
	return quarantine
}

func memberOf(m controller.Member) subscriber.Member {
	// The error is ignored: State refuses to register an address that is not an IP
	// address and a port.
	address, _ := netip.ParseAddrPort(m.Address)
	return subscriber.Member{
		Upstream:         m.Upstream,
		Incarnation:      m.Incarnation,
		Token:            m.Token,
		Address:          address,
		Instance:         m.Instance,
		Region:           m.Region,
		AvailabilityZone: m.AvailabilityZone,
		Service:          m.Service,
		ReportsLoad:      m.ReportsLoad,
		Leaving:          m.Leaving,
		Ready:            m.Serving,
		Model:            m.Model,
		Version:          m.Version,
		Adapters:         m.Adapters,
	}
}

// Configuration returns the current configuration.
func (s appliedState) Configuration() configurer.Configuration {
	return s.State.Configuration()
}

func newPublisher(state *controller.State, e *connector.Endpoint, c *coordinator.Coordinator, clock clockwork.Clock,
	set *metrics.Set, logger *zap.Logger) *publisher.Publisher {
	return publisher.New(appliedState{state}, e, c, clock, set, logger)
}

func newAdministrator(settings parser.Settings, source *certifier.Source, state *controller.State,
	c *coordinator.Coordinator, s *submitter.Submitter, p *publisher.Publisher, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, logger *zap.Logger) *administrator.Server {
	deps := administrator.Dependencies{State: state, Replica: c, Submitter: s, Publisher: p, Caller: e, Clock: clock, Metrics: set}
	return administrator.New(settings.Control.Operators, source, deps, logger)
}

// controlParts holds the components that serveControl connects.
type controlParts struct {
	fx.In

	Lifecycle     fx.Lifecycle
	Endpoint      *connector.Endpoint
	Machine       *stateMachine
	Coordinator   *coordinator.Coordinator
	Publisher     *publisher.Publisher
	Keeper        *leaseKeeper
	Administrator *administrator.Server
	Logger        *zap.Logger
}

func serveControl(parts controlParts) {
	parts.Machine.onChange = parts.Publisher.Notify
	for _, entry := range coordinator.Messages() {
		parts.Endpoint.Handle(entry.Kind(), receiveReplicas(parts.Coordinator, parts.Logger))
	}
	parts.Endpoint.Handle(subscriber.SubscribeKind, parts.Publisher.Serve)
	parts.Endpoint.Handle(publisher.RenewKind, parts.Keeper.serve)
	parts.Endpoint.Handle(administrator.StatusKind, parts.Administrator.ServeStatus)
	submitter.NewServer(parts.Coordinator, permitCommand, parts.Logger).Register(parts.Endpoint)
	parts.Lifecycle.Append(fx.StartStopHook(parts.Coordinator.Start, parts.Coordinator.Stop))
	parts.Lifecycle.Append(fx.StartStopHook(parts.Keeper.start, parts.Keeper.stop))
	parts.Lifecycle.Append(fx.StartStopHook(parts.Publisher.Start, parts.Publisher.Stop))
	parts.Lifecycle.Append(fx.StartStopHook(parts.Administrator.Start, parts.Administrator.Stop))
}

// receiveReplicas returns a handler that passes the messages of other replicas to the
// coordinator.
func receiveReplicas(c *coordinator.Coordinator, logger *zap.Logger) connector.Handler {
	return func(ctx context.Context, s *connector.Stream, first any) {
		if !s.Peer().Has(certifier.Control) {
			logger.Warn("Refused a replica without the role Control.", zap.String("peer", s.Peer().Name))
			return
		}
		for msg, err := first, error(nil); err == nil; msg, err = s.ReceiveReadable(ctx) {
			c.Receive(s.Peer().Address, msg)
		}
	}
}

// permitCommand returns an error of kind Denied if no role of the peer may submit the
// command.
func permitCommand(peer connector.Peer, data []byte) error {
	command, err := controller.DecodeCommand(data)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(rolesFor(command), peer.Has) {
		return explainer.New(explainer.Denied, fmt.Sprintf("%q may not submit %T", peer.Name, command),
			"issue its key with the role that it needs")
	}
	return nil
}

// rolesFor returns the roles that may submit the command. Commands of operators are
// submitted by the control replica that received them.
func rolesFor(command any) []certifier.Role {
	switch command.(type) {
	case *controller.SubmitPatch, *controller.Expire:
		return []certifier.Role{certifier.Control}
	case *quarantiner.ClearSuspects:
		return []certifier.Role{certifier.Control, certifier.Agent}
	case *controller.Claim:
		return []certifier.Role{certifier.Entry}
	case *controller.Settle:
		return []certifier.Role{certifier.Entry, certifier.Agent}
	default:
		return []certifier.Role{certifier.Agent}
	}
}
