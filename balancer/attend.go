package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// The entries of an availability zone divide its engines among themselves, and each sends
// requests first to those that it attends. Most of their requests are then its own, so that it
// knows how full they are although reports are old. If all entries chose among all engines by
// the same old reports, they would fill those that look empty beyond their slots, while others
// have free ones.

// unattendedPenalty is added to the forecast of an engine that another entry attends. About
// as many requests as an engine starts in that time may be on their way there unseen.
const unattendedPenalty = 60 * time.Millisecond

const (
	// minAttended is how many engines each entry has to get before any are attended: with fewer
	// it has too little choice, and their slots fill up and run empty by chance.
	minAttended = 3
	// keptAttended is the same where engines are attended already: when many are lost, entries
	// go on with what they know of the others.
	keptAttended = 2
)

// assignAttendants chooses the entry that attends each engine, if lists have changed since it
// last did. All entries choose alike from the same lists.
func (r *Reducer) assignAttendants() {
	if !r.attendantsDue {
		return
	}
	r.attendantsDue = false
	for service, list := range r.byService {
		byZone := make(map[identifier.AvailabilityZone][]*upstream)
		for _, u := range list {
			byZone[u.view.AvailabilityZone] = append(byZone[u.view.AvailabilityZone], u)
		}
		for zone, upstreams := range byZone {
			var entries []identifier.Instance
			if r.services[service].Engine != nil {
				entries = r.entriesIn(zone)
			}
			assign(upstreams, entries)
		}
	}
}

func (r *Reducer) entriesIn(zone identifier.AvailabilityZone) []identifier.Instance {
	var names []identifier.Instance
	for _, e := range r.entries {
		if e.AvailabilityZone == zone {
			names = append(names, e.Name)
		}
	}
	return names
}

// assign divides the upstreams among the entries, as many to each as to any other or one more.
// Each goes to the first entry after it on a ring of hashes that has not got its part, so that
// one that comes or goes changes few of the other assignments. Nobody attends upstreams of which
// there are too few.
func assign(upstreams []*upstream, entries []identifier.Instance) {
	least := minAttended
	for _, u := range upstreams {
		if u.attendant != "" {
			least = keptAttended
		}
		u.attendant = ""
	}
	if len(entries) == 0 || len(upstreams) < least*len(entries) {
		return
	}
	ring := newEntryRing(entries)
	each, more := len(upstreams)/len(entries), len(upstreams)%len(entries)
	counts := make(map[identifier.Instance]int, len(entries))
	for _, u := range upstreams {
		for at := ring.after(u.view.Upstream); ; at = (at + 1) % len(ring) {
			entry := ring[at].entry
			if n := counts[entry]; n > each || (n == each && more == 0) {
				continue
			}
			if counts[entry] == each {
				more--
			}
			counts[entry]++
			u.attendant = entry
			break
		}
	}
}

// ringPoints is how many points each entry has on a ring.
const ringPoints = 8

// entryRing holds points of entries, by ascending hash.
type entryRing []ringPoint

type ringPoint struct {
	hash  uint64
	entry identifier.Instance
}

func newEntryRing(entries []identifier.Instance) entryRing {
	ring := make(entryRing, 0, ringPoints*len(entries))
	for _, e := range entries {
		hash := xxhash.Sum64String(string(e))
		for range ringPoints {
			hash = limiter.SplitMix64(hash)
			ring = append(ring, ringPoint{hash, e})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// after returns the index of the first point after the upstream's.
func (r entryRing) after(name identifier.Upstream) int {
	hash := xxhash.Sum64String(string(name))
	i, _ := slices.BinarySearchFunc(r, hash, func(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) })
	return i % len(r)
}

// attends reports whether this entry attends the upstream.
func (r *Reducer) attends(u *upstream) bool {
	return u.attendant != "" && u.attendant == r.cfg.Entry
}
