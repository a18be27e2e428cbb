package fetcher

import (
	"time"

	"celeryvalve/identifier"
)

// Config holds the settings of one agent's transfers.
type Config struct {
	// Self is this agent.
	Self Peer
	// Stripes is into how many stripes a transfer is cut. It must be equal on
	// all members.
	Stripes int
	// Window is how many chunks of a stripe are asked for at once.
	Window int
	// Pulls is how many chunks are asked for at once of members that are not
	// ancestors.
	Pulls int
	// Uploads is how many chunks are sent at once.
	Uploads int
	// UploadQueue is how many requests are kept, over all peers.
	UploadQueue int
	// OriginReads is how many chunks are read from one source at once.
	OriginReads int
	// ReadAhead is how many chunks a root reads from the origin beyond those that
	// its peers wait for.
	ReadAhead int
	// LeaseParts is in how many parts the root of a stripe leases it. A lost
	// root loses at most a part or two.
	LeaseParts int
	// HolderProbes is how many members are asked for a chunk before it counts as
	// held by nobody.
	HolderProbes int
	// ProbeRate and ProbeBurst bound how many requests a second go to members that
	// are not ancestors. They keep the bytes of control small.
	ProbeRate  float64
	ProbeBurst float64
	// ProgressDeadline is how long a source may bring nothing.
	ProgressDeadline time.Duration
	// SetAside is for how long a source that broke the deadline is passed over.
	SetAside time.Duration
	// RetryDelay is how long a refused request waits before it is made again.
	RetryDelay time.Duration
	// StoreLimit bounds the bytes of all chunks. Transfers that don't fit wait.
	StoreLimit identifier.ByteCount
	// UploadBudget and DownloadBudget bound the rates of transfers.
	UploadBudget   identifier.BytesPerSecond
	DownloadBudget identifier.BytesPerSecond
	// DelayTarget is the delay of live requests above which transfers yield.
	DelayTarget time.Duration
}

// DefaultConfig returns the settings for everything but Self.
func DefaultConfig() Config {
	return Config{
		Stripes:          16,
		Window:           3,
		Pulls:            4,
		Uploads:          2,
		UploadQueue:      4096,
		OriginReads:      2,
		ReadAhead:        2,
		LeaseParts:       8,
		HolderProbes:     24,
		ProbeRate:        4,
		ProbeBurst:       100,
		ProgressDeadline: 10 * time.Second,
		SetAside:         30 * time.Second,
		RetryDelay:       500 * time.Millisecond,
		StoreLimit:       64 << 30,
		UploadBudget:     125e6,
		DownloadBudget:   125e6,
		DelayTarget:      48 * time.Millisecond,
	}
}

// originRoots returns how many trees, over all stripes, start at the origin.
// TimeToReplicas gives every second stripe a second root.
func originRoots(favour Favour, stripes int) int {
	if favour == TimeToReplicas {
		return stripes + stripes/2
	}
	return stripes
}
