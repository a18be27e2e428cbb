package replicator

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval                       = 100 * time.Millisecond
	DefaultElectionTimeout                         = time.Second
	DefaultMaxAppendBytes     identifier.ByteCount = 256 << 10
	DefaultMaxAppendEntries                        = 512
	DefaultMaxInflight                             = 8
	DefaultMaxUnreceivedBytes identifier.ByteCount = 512 << 10
	DefaultMaxPendingBytes    identifier.ByteCount = 32 << 20
	DefaultSnapshotChunkSize  identifier.ByteCount = 256 << 10
	DefaultKeepEntries                             = 256
	DefaultKeepBytes          identifier.ByteCount = 4 << 20
)

// MaxCommandBytes is the size of the largest command. It leaves room for the
// other fields in a frame between replicas.
const MaxCommandBytes identifier.ByteCount = 4 << 20

// Config configures a replicator. The fields from HeartbeatInterval on take
// their defaults where they are zero.
type Config struct {
	// Replica is the identity of this replica's disk.
	Replica identifier.Replica
	Name    string
	Addr    netip.AddrPort
	// Founders are the replicas that bootstrap the cluster. They must be the same
	// on every founder. A founder that is given none uses those that its disk or another
	// founder names, as after a restart during the first start.
	Founders []recorder.Founder

	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader after which a
	// follower campaigns, and the longest time for which a leader without a
	// quorum keeps leading. A replica that has seen no leader since its start
	// waits for a shorter time: see startTimeoutDivisor.
	ElectionTimeout  time.Duration
	MaxAppendBytes   identifier.ByteCount
	MaxAppendEntries int
	// MaxInflight limits the unanswered append requests with entries to one
	// follower.
	MaxInflight int
	// MaxUnreceivedBytes limits the commands in the leader's log that no majority has received yet, so that
	// membership changes and leadership transfers don't wait long for them. Further ones wait at the
	// leader.
	MaxUnreceivedBytes identifier.ByteCount
	// MaxPendingBytes limits the proposals that are not committed yet, in the log or waiting: the leader
	// rejects further ones while it is exceeded.
	MaxPendingBytes   identifier.ByteCount
	SnapshotChunkSize identifier.ByteCount
	// KeepEntries and KeepBytes limit the entries that stay in memory although a
	// snapshot covers them, so that a follower slightly behind needs no snapshot.
	KeepEntries int
	KeepBytes   identifier.ByteCount
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxAppendEntries, DefaultMaxAppendEntries)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxUnreceivedBytes, DefaultMaxUnreceivedBytes)
	setDefault(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&c.SnapshotChunkSize, DefaultSnapshotChunkSize)
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

// retransmitAfter is how long a leader waits for an answer before it sends
// entries or a snapshot chunk again.
func (c Config) retransmitAfter() time.Duration {
	return 2 * c.HeartbeatInterval
}

// diskTimeout is how long a Persist effect may stay unanswered before the
// replica stops leading and campaigning.
func (c Config) diskTimeout() time.Duration {
	return 3 * c.ElectionTimeout
}

// joinerLifetime is how long the last message of a replica without entries
// counts as proof that it is still there and still empty.
func (c Config) joinerLifetime() time.Duration {
	return 10 * c.HeartbeatInterval
}
