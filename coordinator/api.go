package coordinator

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// DefaultSnapshotEvery is the number of entries after which a snapshot is taken.
const DefaultSnapshotEvery = 1024

// snapshotBytes is the size of commands after which a snapshot is taken in any case.
const snapshotBytes identifier.ByteCount = 8 << 20

// StateMachine is what the log is applied to. All of its methods are called
// from one goroutine. Apply must depend on its arguments and on earlier calls
// only, so that every replica comes to the same state.
type StateMachine interface {
	// Apply takes in one command. at is the leader's time of the proposal.
	Apply(index uint64, at time.Time, data []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport carries messages between replicas.
type Transport interface {
	// Send sends the message or drops it. It must not block.
	Send(to netip.AddrPort, msg any)
}

// Member is a replica of the first start, as the settings name it.
type Member struct {
	Name string
	Addr netip.AddrPort
}

// Config says how one replica takes part. Zero values take the defaults.
type Config struct {
	// Name is the replica's name among Members.
	Name string
	// Addr is where this replica takes messages.
	Addr netip.AddrPort
	// Members are the replicas of the first start, the same on each. Later
	// changes are in the log, and this list no longer matters.
	Members []Member

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEvery is the number of entries after which a snapshot is taken.
	SnapshotEvery int
	// Random returns numbers in [0, 1) that spread election timeouts.
	Random func() float64
	// Metrics takes the replica's metrics. Two replicas can't share one set.
	Metrics *metrics.Set
	// OnRole, if set, is told of each change of role, term or leader. It must not block.
	OnRole func(replicator.RoleChanged)
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
		cfg.Founders = append(cfg.Founders, replicator.Founder{Name: m.Name, Addr: m.Addr})
	}
	return cfg
}

// Messages returns the codec's entries of the messages between replicas.
func Messages() []encoder.Entry {
	return replicator.Messages()
}

// Status is the state of a replica for operators.
type Status struct {
	replicator.Status
	// Applied is the last entry that the state machine holds.
	Applied recorder.Index
	// Failure is what stopped the replica, or nil.
	Failure error
}
