package fetcher

import (
	"time"

	"celeryvalve/identifier"
)

// Config holds the settings of one agent's transfers.
type Config struct {
	// Self is this agent as it is listed among the members.
	Self Peer
	// Stripes is the number of stripes that a transfer is divided into. It must be
	// equal on all members.
	Stripes int
	// Window is how many chunks of a stripe are requested from ancestors at once.
	Window int
	// ProbeWindow is how many chunks of a transfer are requested at once from members that
	// are not ancestors.
	ProbeWindow int
	// Uploads is how many chunks are sent to peers at once.
	Uploads int
	// UploadQueue is how many requests of peers are kept, over all peers. Further
	// ones are refused with Busy.
	UploadQueue int
	// OriginReadsPerStripe is how many chunks of a stripe are read from the origin at once.
	OriginReadsPerStripe int
	// OriginReads is how many chunks of a transfer all members together read from the origin
	// at once, or 0 for no limit but OriginReadsPerStripe. Each member takes the part that it
	// has of the chunks left, at least one. Few reads at once lose little if the origin is
	// lost during them.
	OriginReads int
	// ReadAhead is how many chunks a root reads from the origin ahead of those that
	// its peers wait for.
	ReadAhead int
	// LeasesPerStripe is the number of parts in which the root of a stripe leases it. The
	// failure of a root loses at most one or two parts.
	LeasesPerStripe int
	// MaxProbesPerChunk is how many members are asked for a chunk before it is assumed
	// that no member holds it.
	MaxProbesPerChunk int
	// ProbeRate and ProbeBurst limit the requests to members that are not ancestors:
	// ProbeRate is the number per second. They keep the control traffic small.
	ProbeRate  float64
	ProbeBurst float64
	// ProgressDeadline is how long a source may deliver nothing before it counts as
	// stalled.
	ProgressDeadline time.Duration
	// EjectionTime is how long a stalled or unreachable source is ejected, that is, not
	// asked for chunks.
	EjectionTime time.Duration
	// RetryDelay is the minimum delay before a refused or failed request is retried.
	RetryDelay time.Duration
	// StoreLimit limits the total size of all chunks. Transfers that do not fit wait
	// until others are cancelled.
	StoreLimit identifier.ByteCount
	// UploadRate and DownloadRate limit the rates of transfers on this instance.
	UploadRate   identifier.BytesPerSecond
	DownloadRate identifier.BytesPerSecond
	// DelayTarget is the delay of live requests above which transfers slow down.
	DelayTarget time.Duration
}

// DefaultConfig returns the settings for everything but Self.
func DefaultConfig() Config {
	return Config{
		Stripes:              16,
		Window:               3,
		ProbeWindow:          4,
		Uploads:              2,
		UploadQueue:          4096,
		OriginReadsPerStripe: 2,
		ReadAhead:            2,
		LeasesPerStripe:      8,
		MaxProbesPerChunk:    24,
		ProbeRate:            4,
		ProbeBurst:           100,
		ProgressDeadline:     10 * time.Second,
		EjectionTime:         30 * time.Second,
		RetryDelay:           500 * time.Millisecond,
		StoreLimit:           64 << 30,
		UploadRate:           125e6,
		DownloadRate:         125e6,
		DelayTarget:          48 * time.Millisecond,
	}
}

// originRoots returns how many trees, over all stripes, are rooted at the origin.
// TimeToReplicas gives every second stripe a second root.
func originRoots(favour Favour, stripes int) int {
	if favour == TimeToReplicas {
		return stripes + stripes/2
	}
	return stripes
}
