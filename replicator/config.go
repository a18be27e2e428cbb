package replicator

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval                      = 100 * time.Millisecond
	DefaultElectionTimeout                        = time.Second
	DefaultMaxAppendBytes    identifier.ByteCount = 256 << 10
	DefaultMaxAppendEntries                       = 512
	DefaultMaxInflight                            = 8
	DefaultMaxPendingBytes   identifier.ByteCount = 32 << 20
	DefaultSnapshotChunk     identifier.ByteCount = 256 << 10
	DefaultKeepEntries                            = 256
	DefaultKeepBytes         identifier.ByteCount = 4 << 20
)

// MaxCommandBytes is the size of the largest command. It leaves room for the
// rest of a frame between replicas.
const MaxCommandBytes identifier.ByteCount = 4 << 20

// Founder is a replica of the first start, as the settings name it.
type Founder struct {
	Name string
	Addr netip.AddrPort
}

// Config is what a replicator needs to know. Zero values take the defaults.
type Config struct {
	// Replica is the identity of this replica's disk.
	Replica identifier.Replica
	Name    string
	Addr    netip.AddrPort
	// Founders are the replicas of the first start, the same on each.
	Founders []Founder

	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a follower waits for a leader at least, and
	// for how long a leader without a quorum stays one at most.
	ElectionTimeout  time.Duration
	MaxAppendBytes   identifier.ByteCount
	MaxAppendEntries int
	// MaxInflight is how many unanswered requests with entries go to one follower.
	MaxInflight int
	// MaxPendingBytes bounds the proposals that are not committed yet.
	MaxPendingBytes identifier.ByteCount
	SnapshotChunk   identifier.ByteCount
	// KeepEntries and KeepBytes bound the entries before a snapshot that stay in
	// memory, so that a follower slightly behind needs no snapshot.
	KeepEntries int
	KeepBytes   identifier.ByteCount
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxAppendEntries, DefaultMaxAppendEntries)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&c.SnapshotChunk, DefaultSnapshotChunk)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// retransmitAfter is how long an unanswered request with entries stays unsent again.
func (c Config) retransmitAfter() time.Duration {
	return 2 * c.HeartbeatInterval
}

// diskTimeout is how long a leader waits for its own disk.
func (c Config) diskTimeout() time.Duration {
	return 3 * c.ElectionTimeout
}

// answerLifetime is how long what a new replica told of itself counts.
func (c Config) answerLifetime() time.Duration {
	return 10 * c.HeartbeatInterval
}
