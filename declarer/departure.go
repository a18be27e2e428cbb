package declarer

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"celeryvalve/identifier"
)

const (
	// DepartureRetention is how long a departure is kept. It covers the time for which a
	// process that stood still may tell the others that the upstream is ready.
	DepartureRetention = time.Minute
	// maxDepartures bounds the departures that are kept. It is the largest number of upstreams
	// that a process knows.
	maxDepartures = 1 << 13
)

// Depart records that an incarnation of an upstream accepts no new requests. It outlives a
// restart of all control replicas, whose tables of upstreams are in memory. The answer is an
// Answer, or a Rejected if a name is not valid.
type Depart struct {
	Departure Departure
}

// Departure is the last report of an upstream that accepts no new requests. Its fields are
// those of a registrar.Record.
type Departure struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Sequence         uint64
	Epoch            uint64 `cbor:",omitempty"`
	Service          identifier.Service
	Address          netip.AddrPort
	AvailabilityZone identifier.AvailabilityZone
	Region           identifier.Region
	Slots            int
	// Gone is set if the upstream has left, and not set while it finishes its requests.
	Gone bool
}

// compareTo orders the departures of one upstream by what they say of it.
func (d Departure) compareTo(other Departure) int {
	gone := func(d Departure) int {
		if d.Gone {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(d.Epoch, other.Epoch),
		cmp.Compare(d.Incarnation, other.Incarnation),
		cmp.Compare(gone(d), gone(other)),
		cmp.Compare(d.Sequence, other.Sequence),
	)
}

func (d Departure) check() error {
	return cmp.Or(
		identifier.CheckName("upstream", d.Upstream),
		identifier.CheckOptionalName("service", d.Service),
		identifier.CheckOptionalName("availability zone", d.AvailabilityZone),
		identifier.CheckOptionalName("region", d.Region),
		identifier.CheckOptionalName("address zone", d.Address.Addr().Zone()),
	)
}

// RecordedDeparture is a departure in the log.
type RecordedDeparture struct {
	Departure Departure
	// Index is that of the log entry, and At its time by the leader's wall clock.
	Index uint64
	At    time.Time
}

// depart records a departure, unless a later one of the upstream is known.
func (s *State) depart(index uint64, at time.Time, c *Depart) any {
	d := c.Departure
	if err := d.check(); err != nil {
		return &Rejected{Problem: err.Error()}
	}
	known, ok := s.departures[d.Upstream]
	if ok && d.compareTo(known.Departure) < 0 {
		return s.answer(false)
	}
	if !ok && len(s.departures) >= maxDepartures {
		s.dropOldestDeparture()
	}
	s.departures[d.Upstream] = RecordedDeparture{Departure: d, Index: index, At: at}
	s.noteDeparture(at)
	return s.answer(true)
}

// noteDeparture notes the time of a departure for expireDepartures.
func (s *State) noteDeparture(at time.Time) {
	if s.oldestDeparture.IsZero() || at.Before(s.oldestDeparture) {
		s.oldestDeparture = at
	}
}

// expireDepartures drops the departures that are older than DepartureRetention.
func (s *State) expireDepartures(at time.Time) {
	if len(s.departures) == 0 || at.Sub(s.oldestDeparture) <= DepartureRetention {
		return
	}
	s.oldestDeparture = time.Time{}
	for upstream, r := range s.departures {
		if at.Sub(r.At) > DepartureRetention {
			delete(s.departures, upstream)
		} else {
			s.noteDeparture(r.At)
		}
	}
}

func (s *State) dropOldestDeparture() {
	oldest := slices.MinFunc(s.listDepartures(), func(a, b RecordedDeparture) int { return cmp.Compare(a.Index, b.Index) })
	delete(s.departures, oldest.Departure.Upstream)
}

// listDepartures returns the departures sorted by upstream.
func (s *State) listDepartures() []RecordedDeparture {
	return slices.SortedFunc(maps.Values(s.departures), func(a, b RecordedDeparture) int {
		return cmp.Compare(a.Departure.Upstream, b.Departure.Upstream)
	})
}

func (s *State) restoreDepartures(list []RecordedDeparture) {
	s.departures = make(map[identifier.Upstream]RecordedDeparture, len(list))
	s.oldestDeparture = time.Time{}
	for _, r := range list {
		s.departures[r.Departure.Upstream] = r
		s.noteDeparture(r.At)
	}
}

// Departures returns the departures that were recorded after the log entry with this index.
func (s *State) Departures(after uint64) []RecordedDeparture {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.DeleteFunc(s.listDepartures(), func(r RecordedDeparture) bool { return r.Index <= after })
}
