package parser

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
)

// Placement is the platform's description of where one process runs and which
// resources it may use. It is read at the start, and again when the platform
// changes it.
type Placement struct {
	Instance         identifier.Instance
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	// Regions maps every availability zone to its region.
	Regions map[identifier.AvailabilityZone]identifier.Region
	IP      netip.Addr
	// Callers, Readiness and Operators are the addresses of HTTP servers. The
	// address of a server that the process does not run is not valid.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Operators netip.AddrPort
	// Upstream is the address of the upstream on the same instance, and not
	// valid if there is none.
	Upstream netip.AddrPort
	// InternalAddress is the address for the system's other processes. Its port is the
	// same in all processes.
	InternalAddress netip.AddrPort
	// Seeds are the InternalAddress values of some of the other processes.
	Seeds []netip.AddrPort
	// DataFolder is a folder on a disk, or empty if the process has none.
	DataFolder string
	// FirstStart reports whether the whole system is starting for the first
	// time.
	FirstStart bool
	// ToleratedLosses is the number of replicas that may be lost at once.
	ToleratedLosses int
	Memory          identifier.ByteCount
	// Descriptors is how many files and sockets the process may have open, or 0 if that is not given.
	Descriptors       int
	LinkRate          identifier.BytesPerSecond
	HeartbeatInterval time.Duration
	Bounds            PlatformLimits
}

// PlatformLimits are the time limits and the retry limits that the platform sets.
type PlatformLimits struct {
	// ShutdownGrace is the time between the stop signal and the termination of a
	// process.
	ShutdownGrace time.Duration
	// CatchUp is how long after the start of a new instance the one that it replaces
	// counts as lost. Another may be lost then.
	CatchUp time.Duration
	// ReleaseDeadline is the time in which a wanted release must be in force.
	ReleaseDeadline time.Duration
	// ControlSettling is how long after the start of a control replica the time for a
	// release does not pass.
	ControlSettling time.Duration
	// RetryRatio and RetryAllowance limit the retries of all entries together
	// during RetryWindow: RetryRatio is a fraction of the requests, RetryAllowance
	// a number of retries.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdOverage and ColdAllowance bound the requests that a cold upstream gets from all
	// entries in one second: ColdOverage is a factor of what it bears, ColdAllowance a
	// number of requests.
	ColdOverage   float64
	ColdAllowance float64
}
