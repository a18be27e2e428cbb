package coordinator

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/encoder"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// DefaultSnapshotEvery is the default of Config.SnapshotEvery, in log entries.
const DefaultSnapshotEvery = 1024

// StateMachine is the state that committed log entries are applied to. Its
// methods are never called concurrently. Apply must depend only on its arguments
// and on earlier calls, so that every replica reaches the same state.
type StateMachine interface {
	// Apply applies one command and returns the result for its proposer. at is the
	// time at which the command was proposed, by the leader's clock.
	Apply(index uint64, at time.Time, data []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by the one that Snapshot returned as data.
	Restore(data []byte) error
}

// Publisher is implemented by a StateMachine whose state others see by a copy, or that
// calls others after a change.
type Publisher interface {
	// Publish makes the state visible to others. It is called once after one or more calls
	// of Apply, and before the proposers of those commands get their results.
	Publish()
}

// Transport carries messages between replicas.
type Transport interface {
	// Send sends the message or drops it. It must not block.
	Send(to netip.AddrPort, msg any)
}

// Member is one of the replicas that form a new cluster, as listed in the
// settings.
type Member struct {
	Name string
	Addr netip.AddrPort
}

// Config configures one replica. Zero values of HeartbeatInterval,
// ElectionTimeout, SnapshotEvery, Random and Metrics select defaults.
type Config struct {
	// Name is this replica's name, also in Members if it is listed there.
	Name string
	// Addr is the address at which this replica receives messages.
	Addr netip.AddrPort
	// Members are the replicas that form a new cluster. Every replica must get the
	// same list. The log records later changes, and the list is not used any more.
	Members []Member

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEvery is the number of applied entries after which a snapshot is taken. One is
	// taken earlier if the log becomes as large as the state.
	SnapshotEvery int
	// Random returns numbers in [0, 1) that randomise the election timeouts.
	Random func() float64
	// Metrics is the set in which the replica registers its metrics. Two replicas
	// can't share one set, since the names of their metrics are the same.
	Metrics *metrics.Set
	// OnRoleChange, if set, is called on each change of role, term or leader. It must not block.
	OnRoleChange func(replicator.RoleChanged)
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = replicator.DefaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = replicator.DefaultElectionTimeout
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return c
}

func (c Config) replicator(store *recorder.Recorder) replicator.Config {
	cfg := replicator.Config{
		Replica:           store.Replica(),
		Name:              c.Name,
		Addr:              c.Addr,
		HeartbeatInterval: c.HeartbeatInterval,
		ElectionTimeout:   c.ElectionTimeout,
	}
	for _, m := range c.Members {
		cfg.Founders = append(cfg.Founders, recorder.Founder{Name: m.Name, Addr: m.Addr})
	}
	return cfg
}

// Messages returns the codec entries of the messages that replicas exchange.
func Messages() []encoder.MessageType {
	return replicator.Messages()
}

// Leadership is what a replica knows of the leader.
type Leadership struct {
	// Leader is the address at which the leader receives messages. It is invalid if none is known.
	Leader netip.AddrPort
	// Term is that in which the leader was elected. A leader of a higher term has deposed it.
	Term recorder.Term
}

// Status is the state of a replica for operators.
type Status struct {
	replicator.Status
	// Applied is the index of the last entry applied to the state machine.
	Applied recorder.Index
	// Failure is the error that stopped the replica permanently, or nil.
	Failure error
}
