package placer

import (
	"time"

	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/stager"
)

// releasePair is a pinned release and the one pinned before it, of one model.
type releasePair struct {
	earlier, newer declarer.Pinned
	// names holds the names of the model's releases with times on this process's clock.
	names []declarer.WantedRelease
	// copyTime is the shortest time in which the origin sends the earlier one, or 0 if that
	// is not known.
	copyTime time.Duration
}

func newReleasePair(d declarer.Declaration, release declarer.Release, newer declarer.Pinned) releasePair {
	earlier := release.PinBefore(newer.Number)
	return releasePair{earlier: earlier, newer: newer, names: release.Names, copyTime: copyTime(d, earlier)}
}

// copyTime returns the shortest time in which the origin sends a release, or 0 if that is not
// known.
func copyTime(d declarer.Declaration, p declarer.Pinned) time.Duration {
	rate := originRate(d)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(sizeOf(p)) / float64(rate) * float64(time.Second))
}

// size returns how many bytes both releases have.
func (p releasePair) size() identifier.ByteCount {
	return sizeOf(p.earlier) + sizeOf(p.newer)
}

func sizeOf(p declarer.Pinned) identifier.ByteCount {
	return p.ChunkSize * identifier.ByteCount(len(p.Digests))
}

// bridge returns the bridge from the release that is in force to the newer one, by the parts of
// both that are held. inForceUntil is when entries cease to use the release in force.
func (p releasePair) bridge(earlierHeld, newerHeld float64, inForceUntil time.Time, rolloutTime time.Duration) stager.Bridge {
	b := stager.Bridge{RuledOutAt: inForceUntil, EarlierHeld: earlierHeld, NewerHeld: newerHeld, CopyTime: p.copyTime}
	if named := p.namedAt(p.newer.Number); !named.IsZero() {
		b.EarlierRuledOutAt = stager.RuledOutAt(named, rolloutTime)
	}
	return b
}

func (p releasePair) namedAt(n declarer.ReleaseNumber) time.Time {
	for _, name := range p.names {
		if name.Number == n {
			return name.At
		}
	}
	return time.Time{}
}

// originRate returns what the link of the declared origin carries, or 0 if that is not known.
func originRate(d declarer.Declaration) identifier.BytesPerSecond {
	for _, s := range d.Services {
		if s.Origin != "" {
			return s.OriginRate
		}
	}
	return 0
}

// updateBridge decides whether the engine loads the earlier release before the target. A
// decision for it holds until the target is here. The caller holds a.mu.
func (a *agent) updateBridge(d declarer.Declaration, release declarer.Release, report stager.Report) {
	wanted, earlier := a.pulls[a.target.pinned.Number], a.pulls[a.earlier]
	if earlier == nil || report.Release == 0 || report.Release >= a.earlier || (wanted != nil && wanted.chunks != nil) {
		a.bridging = false
		return
	}
	earlier.update(a.clock.Now())
	if a.bridging {
		return
	}
	bridge := a.bridge(d, release, report, wanted, earlier)
	switch now := a.clock.Now(); {
	case bridge.IsNeeded(now):
		a.bridging = true
		a.log.Info("An earlier release is loaded first.", zap.Uint64("release", uint64(a.earlier)),
			zap.Uint64("newer", uint64(a.target.pinned.Number)), zap.Float64("held", earlier.progress()))
	case earlier.running && bridge.Saving(now) <= 0:
		earlier.cancel()
	}
}

// bridge returns the bridge over the earlier release, as this agent knows it.
func (a *agent) bridge(d declarer.Declaration, release declarer.Release, report stager.Report, wanted, earlier *pull) stager.Bridge {
	newerHeld := 0.0
	if wanted != nil {
		newerHeld = wanted.progress()
	}
	since := release.WantedSince(report.Release)
	if since.Before(a.settledSince) {
		since = a.settledSince
	}
	rolloutTime := a.placement.Bounds.ReleaseDeadline
	pair := newReleasePair(d, release, a.target.pinned)
	return pair.bridge(earlier.progress(), newerHeld, stager.RuledOutAt(since, rolloutTime), rolloutTime)
}
