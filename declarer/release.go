package declarer

import (
	"time"

	"celeryvalve/identifier"
)

// ReleaseNumber numbers the releases of one model's weights. Numbers only increase.
type ReleaseNumber uint64

// Release is the state of the releases of one model's weights.
type Release struct {
	// Wanted is the release that engines should load: the highest number that was
	// set by NameRelease, or FirstRelease.
	Wanted ReleaseNumber
	// Names are the latest values of Wanted, the newest last.
	Names []WantedRelease
	// Pins are the digests of the newest pinned releases, by ascending number. The
	// digests of a number never change.
	Pins []Pinned
}

// WantedRelease records when a release became the wanted one, by the leader's wall clock.
type WantedRelease struct {
	Number ReleaseNumber
	At     time.Time
}

// maxNames is the maximum length of Release.Names. It exceeds the number of
// releases that are set while a single one is being rolled out.
const maxNames = 16

// WantedSince returns the time at which the first release newer than held became the
// wanted one, or the zero time if none did.
func (r Release) WantedSince(held ReleaseNumber) time.Time {
	for _, n := range r.Names {
		if n.Number > held {
			return n.At
		}
	}
	return time.Time{}
}

// Pinned holds the digests of the chunks of one release, in order.
type Pinned struct {
	Number    ReleaseNumber
	ChunkSize identifier.ByteCount
	Digests   []identifier.Digest
}

// maxPins is the maximum length of Release.Pins: the wanted release, and the one
// before it, which upstreams may still be loading when the next one is set.
const maxPins = 2

// Pin returns the digests of release n, or false if they are not known.
func (r Release) Pin(n ReleaseNumber) (Pinned, bool) {
	for _, p := range r.Pins {
		if p.Number == n {
			return p, true
		}
	}
	return Pinned{}, false
}

// PinBefore returns the newest pinned release before n, or the zero value if there is
// none.
func (r Release) PinBefore(n ReleaseNumber) Pinned {
	var newest Pinned
	for _, p := range r.Pins {
		if p.Number < n && p.Number > newest.Number {
			newest = p
		}
	}
	return newest
}
