package stager

import "time"

// Bridge is an earlier release that a newer one has replaced before engines had it. They may
// load it all the same, so that requests are served until the newer one is there: entries
// refuse the release that engines still have once the time for the earlier one is over.
type Bridge struct {
	// RuledOutAt is when entries cease to use the release that engines have, and
	// EarlierRuledOutAt when they cease to use the earlier one.
	RuledOutAt, EarlierRuledOutAt time.Time
	// EarlierHeld and NewerHeld are the parts of both releases that are held.
	EarlierHeld, NewerHeld float64
	// CopyTime is the shortest time in which the origin sends a release, or 0 if that is not
	// known.
	CopyTime time.Duration
}

// minSaving is what makes a second swap worth it: half of the time that one takes.
const minSaving = swapTime / 2

// IsNeeded reports whether the earlier release is worth its transfer and its swap.
func (b Bridge) IsNeeded(now time.Time) bool {
	return b.Saving(now) >= minSaving
}

// Saving returns for how much longer engines are used if the earlier release comes first. Both
// are assumed to come as fast as the origin's link allows. It is negative if the time is
// shorter.
func (b Bridge) Saving(now time.Time) time.Duration {
	if b.CopyTime <= 0 || b.RuledOutAt.IsZero() || b.EarlierRuledOutAt.IsZero() {
		return 0
	}
	rest := b.timeFor(b.EarlierHeld)
	earlierAt := now.Add(rest + swapTime)
	newerAt := now.Add(b.timeFor(b.NewerHeld) + swapTime)
	newerFirst := max(0, newerAt.Sub(b.RuledOutAt))
	earlierFirst := max(0, earlierAt.Sub(b.RuledOutAt)) + max(0, newerAt.Add(rest).Sub(b.EarlierRuledOutAt))
	return newerFirst - earlierFirst
}

// timeFor returns the shortest time in which the rest of a release comes.
func (b Bridge) timeFor(held float64) time.Duration {
	return time.Duration((1 - held) * float64(b.CopyTime))
}

// RuledOutAt returns when entries cease to use the releases before one that counts since the
// given time.
func RuledOutAt(since time.Time, rolloutTime time.Duration) time.Time {
	return since.Add(rolloutTime - rolloutMargin)
}
