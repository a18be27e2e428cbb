package registrar

import (
	"net/netip"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// State is what an upstream says of its readiness for work.
type State string

// The states of upstreams, in the only order in which they follow each other
// within one incarnation.
const (
	Ready    State = "Ready"
	Draining State = "Draining" // finishes what it has; takes nothing new
	Gone     State = "Gone"     // has left, or its address belongs to another
)

var ranks = map[State]int{Ready: 1, Draining: 2, Gone: 3}

// Record is what one upstream said of itself last.
type Record struct {
	Upstream identifier.Upstream
	// Incarnation is the start of the upstream in Unix milliseconds, or 0 where it
	// does not say so.
	Incarnation identifier.Incarnation
	// Sequence rises with each report of one incarnation.
	Sequence         uint64
	Service          identifier.Service
	Address          netip.AddrPort
	AvailabilityZone identifier.AvailabilityZone
	Region           identifier.Region
	Slots            int
	State            State
	// ColdMillis is for how long the upstream stays slow after its start, in
	// milliseconds from the report.
	ColdMillis int64
	// Model and Release are what it holds whole. Release 0: nothing.
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// Noted is what the agent beside the upstream says that it serves, with a Stamp
	// that rises; 0 while it takes nothing new. Stamp 0: nothing was noted.
	Noted declarer.ReleaseNumber
	Stamp uint64
}

// Serves returns the release that new requests meet at the upstream, or 0.
func (r Record) Serves() declarer.ReleaseNumber {
	if r.Stamp == 0 {
		return r.Release
	}
	return r.Noted
}

// sameFacts reports whether both say the same but for the sequence.
func (r Record) sameFacts(other Record) bool {
	r.Sequence, other.Sequence = 0, 0
	r.ColdMillis, other.ColdMillis = 0, 0
	return r == other
}

// follows reports whether r is later than the other record of the same upstream.
func (r Record) follows(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Load is how busy an upstream is, as its agent sees it.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream identifier.Upstream
	Running  int
	Waiting  int
}

// Refresh says that an upstream was heard, without repeating its record.
type Refresh struct {
	_           struct{} `cbor:",toarray"`
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Sequence    uint64
}
