package reporter

import (
	"slices"
	"time"
)

// tier keeps snapshots of some age no closer together than spacing.
type tier struct {
	age     time.Duration
	spacing time.Duration
}

// tiers hold each alert's windows with a fine enough grain, the youngest first.
var tiers = []tier{
	{age: time.Hour, spacing: time.Minute},
	{age: 6 * time.Hour, spacing: 10 * time.Minute},
	{age: 3 * 24 * time.Hour, spacing: time.Hour},
	{age: 30 * 24 * time.Hour, spacing: 12 * time.Hour},
}

// History keeps the snapshots of one process, the thinner the older they are:
// some 230 of them over a period. It is lost with the process.
type History struct {
	snapshots []Snapshot
}

// Add takes in a snapshot that is younger than those before it.
func (h *History) Add(s Snapshot) {
	h.snapshots = append(h.snapshots, s)
	h.thin(s.Time)
}

// Snapshots returns what is kept, oldest first.
func (h *History) Snapshots() []Snapshot {
	return slices.Clone(h.snapshots)
}

// thin drops each snapshot that is too close to the one kept before it, and those
// that are too old. The two youngest stay, since rates are taken from them.
func (h *History) thin(now time.Time) {
	kept := h.snapshots[:0]
	youngest := len(h.snapshots) - 2
	for i, s := range h.snapshots {
		spacing, ok := spacingAt(now.Sub(s.Time))
		if !ok {
			continue
		}
		if i < youngest && len(kept) > 0 && s.Time.Sub(kept[len(kept)-1].Time) < spacing {
			continue
		}
		kept = append(kept, s)
	}
	clear(h.snapshots[len(kept):])
	h.snapshots = kept
}

// spacingAt returns the spacing of snapshots of the age, or false for one that is
// too old.
func spacingAt(age time.Duration) (time.Duration, bool) {
	for _, t := range tiers {
		if age <= t.age {
			return t.spacing, true
		}
	}
	return 0, false
}
