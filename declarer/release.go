package declarer

import (
	"time"

	"celeryvalve/identifier"
)

// ReleaseNumber numbers the versions of one model's weights. Numbers only rise.
type ReleaseNumber uint64

// Release is what is known of one model's weights.
type Release struct {
	// Wanted is the newest number that was named.
	Wanted ReleaseNumber
	// Names are the newest numbers that were named, the newest last.
	Names []Named
	// Pins are the digests of the newest numbers, by number. They don't change.
	Pins []Pinned
}

// Named is one number with when it was named, by the leader's time of day.
type Named struct {
	Number ReleaseNumber
	At     time.Time
}

// namesKept is how many named releases of a model are remembered with their time:
// more than come within the time that one takes to be in force.
const namesKept = 16

// Since returns when the first number above the given one was named, or the zero
// time: since then something newer is wanted.
func (r Release) Since(held ReleaseNumber) time.Time {
	for _, n := range r.Names {
		if n.Number > held {
			return n.At
		}
	}
	return time.Time{}
}

// Pinned holds the digests of one release's chunks, in order.
type Pinned struct {
	Number    ReleaseNumber
	ChunkSize identifier.ByteCount
	Digests   []identifier.Digest
}

// pinsKept is how many releases of a model are kept pinned: the wanted one, and
// the one before, which upstreams may still load when the next is named.
const pinsKept = 2

// Pin returns the digests of the number.
func (r Release) Pin(n ReleaseNumber) (Pinned, bool) {
	for _, p := range r.Pins {
		if p.Number == n {
			return p, true
		}
	}
	return Pinned{}, false
}
