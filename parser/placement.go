package parser

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
)

// Placement is what a platform tells one process of where it runs and what it
// may use. It is read at the start, and again when the platform changes it.
type Placement struct {
	Instance         identifier.Instance
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	// Regions are those of all availability zones.
	Regions map[identifier.AvailabilityZone]identifier.Region
	IP      netip.Addr
	// Callers, Readiness and Operators are HTTP, and not valid where the process
	// does not serve them.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Operators netip.AddrPort
	// Upstream is the back end on the same instance, if there is one.
	Upstream netip.AddrPort
	// Inner is for the system's other processes. Its port is the same everywhere.
	Inner netip.AddrPort
	// Seeds are where some of the other processes are reached by Inner.
	Seeds []netip.AddrPort
	// DataFolder is on a disk, or empty.
	DataFolder string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// ToleratedLosses is how many replicas may be lost at once.
	ToleratedLosses int
	Memory          identifier.ByteCount
	Link            identifier.BytesPerSecond
	HeartbeatEvery  time.Duration
	Bounds          Bounds
}

// Bounds are the times and amounts within which the platform expects things.
type Bounds struct {
	// Grace is the time between the signal to stop and the end of a process.
	Grace time.Duration
	// ReleaseWithin is the time until a named release is in force.
	ReleaseWithin time.Duration
	// RetryRatio and RetrySlack bound repeats of all entries together: a part of
	// the requests, and a number, in RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
