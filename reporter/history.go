package reporter

import (
	"slices"
	"time"
)

// tier is the minimum spacing of the snapshots that are at most maxAge old and belong to
// no earlier tier.
type tier struct {
	maxAge  time.Duration
	spacing time.Duration
}

// tiers are sorted by age. Their spacing is short enough for the windows of each alert,
// which end at the time of the report.
var tiers = []tier{
	{maxAge: time.Hour, spacing: time.Minute},
	{maxAge: 6 * time.Hour, spacing: 10 * time.Minute},
	{maxAge: 3 * 24 * time.Hour, spacing: time.Hour},
	{maxAge: 30 * 24 * time.Hour, spacing: 12 * time.Hour},
}

// History keeps the snapshots of one process over a period, with a wider spacing the
// older they are: about 230 snapshots in all. It is kept in memory only, so that a
// restart of the process loses it.
type History struct {
	snapshots []Snapshot
}

// Add appends a snapshot, which must be newer than all earlier ones, and drops those
// that are no longer needed.
func (h *History) Add(s Snapshot) {
	h.snapshots = append(h.snapshots, s)
	h.downsample(s.Time)
}

// Snapshots returns a copy of the list of kept snapshots, oldest first.
func (h *History) Snapshots() []Snapshot {
	return slices.Clone(h.snapshots)
}

// downsample drops each snapshot that is closer to the previous kept one than its tier
// allows, and those that are older than the last tier. The two newest are kept whatever
// their spacing, since rates are computed from them.
func (h *History) downsample(now time.Time) {
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

// spacingAt returns the minimum spacing of snapshots of the given age, or false if a
// snapshot of that age is older than the last tier.
func spacingAt(age time.Duration) (time.Duration, bool) {
	for _, t := range tiers {
		if age <= t.maxAge {
			return t.spacing, true
		}
	}
	return 0, false
}
