package registrar

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// State is the readiness of an upstream for requests.
type State string

// The states of upstreams. Within one incarnation a state changes only to a later
// one of this list.
const (
	Ready    State = "Ready"
	Draining State = "Draining" // finishes its requests and accepts no new ones
	Gone     State = "Gone"     // has left
)

var ranks = map[State]int{Ready: 1, Draining: 2, Gone: 3}

// Record is the latest report of an upstream about itself, together with the
// release that its agent announced and the limit that entries learned.
type Record struct {
	Upstream identifier.Upstream
	// Incarnation is the start time of the upstream in Unix milliseconds, or 0 if the
	// upstream does not report it.
	Incarnation identifier.Incarnation
	// Sequence increases with each report of one incarnation.
	Sequence uint64
	// Epoch counts how often reports have replaced a record of the upstream that claimed to be
	// later, but was not reported again. Of two records the one with the higher epoch is newer.
	Epoch            uint64 `cbor:",omitempty"`
	Service          identifier.Service
	Address          netip.AddrPort
	AvailabilityZone identifier.AvailabilityZone
	Region           identifier.Region
	Slots            int
	State            State
	// Displaced is set if another upstream has reported the address since the report with
	// Sequence. A later report of this one takes the address back: which of the two is over can
	// be told only by who goes on reporting.
	Displaced bool `cbor:",omitempty"`
	// ColdMillis is how long the upstream stays cold, in milliseconds from when the record
	// is sent.
	ColdMillis int64
	// Model and Release are those that the upstream holds completely. Release is 0 if
	// it holds none.
	Model   identifier.Model
	Release declarer.ReleaseNumber
	// Noted is the release that the upstream serves, as announced by its agent, or 0
	// while the upstream accepts no new requests. Stamp increases with each
	// announcement, and is 0 before the first one.
	Noted declarer.ReleaseNumber
	Stamp uint64
	// Limit is the limit on requests per second that the upstream named in its answers to
	// entries.
	Limit limiter.RequestLimit
}

// Check returns an error that names the first field whose value is no name that every process can
// hold. A record of an upstream that has left may lack all but its id.
func (r Record) Check() error {
	return cmp.Or(
		identifier.CheckName("upstream", r.Upstream),
		identifier.CheckOptionalName("service", r.Service),
		identifier.CheckOptionalName("availability zone", r.AvailabilityZone),
		identifier.CheckOptionalName("region", r.Region),
		identifier.CheckOptionalName("model", r.Model),
		identifier.CheckOptionalName("address zone", r.Address.Addr().Zone()),
	)
}

// IsOver reports whether the upstream gets no requests any more.
func (r Record) IsOver() bool {
	return r.State == Gone || r.Displaced
}

// Serves returns the release with which the upstream serves new requests, or 0 if
// there is none. The agent's announcement takes precedence over the report.
func (r Record) Serves() declarer.ReleaseNumber {
	if r.Stamp == 0 {
		return r.Release
	}
	return r.Noted
}

// equivalent reports whether the records are equal apart from Sequence and
// ColdMillis, which can change with every report.
func (r Record) equivalent(other Record) bool {
	r.Sequence, other.Sequence = 0, 0
	r.ColdMillis, other.ColdMillis = 0, 0
	return r == other
}

// Digest is a hash of a record without what can change with every report.
type Digest uint64

// Digest returns the digest of the record. It is the same at all processes.
func (r Record) Digest() Digest {
	var b []byte
	for _, text := range []string{
		string(r.Upstream), string(r.Service), r.Address.String(), string(r.AvailabilityZone), string(r.Region), string(r.State), string(r.Model),
	} {
		b = append(append(b, text...), 0)
	}
	for _, n := range []uint64{
		uint64(r.Incarnation), uint64(r.Slots), uint64(r.Release), uint64(r.Noted), r.Stamp,
		math.Float64bits(r.Limit.PerSecond), r.Limit.Stamp,
	} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if r.Epoch > 0 {
		b = binary.BigEndian.AppendUint64(b, r.Epoch)
	}
	if r.Limit.InForce {
		b = append(b, 1)
	}
	if r.Displaced {
		b = append(b, 2)
	}
	return Digest(xxhash.Sum64(b))
}

// newerThan reports whether r is newer than the other record of the same upstream.
func (r Record) newerThan(other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// advances reports whether r says more of the same report than the other record, or of a
// different one that its upstream can't take back.
func (r Record) advances(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return false
	}
	if r.State != other.State {
		return ranks[r.State] > ranks[other.State]
	}
	return r.Displaced && !other.Displaced && r.Sequence == other.Sequence
}

// Load holds the numbers of running and waiting requests of an upstream, as
// reported by its agent.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream identifier.Upstream
	Running  int
	Waiting  int
}

// Refresh reports that an upstream has sent a new report, without repeating the
// unchanged record.
type Refresh struct {
	_           struct{} `cbor:",toarray"`
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Sequence    uint64
}
