package declarer

import (
	"celeryvalve/identifier"
)

// ReleaseNumber numbers the versions of one model's weights. Numbers only rise.
type ReleaseNumber uint64

// Release is what is known of one model's weights.
type Release struct {
	// Wanted is the newest number that was named.
	Wanted ReleaseNumber
	// Pins are the digests of the newest numbers, by number. They don't change.
	Pins []Pinned
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
