package balancer

import (
	"math"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

const (
	// pauseWeight is the weight of one pause between events in the slowness of an
	// upstream. A spell of other work beside it, about half a second long, covers some 5
	// pauses and stays under the slowness of one that is slow throughout.
	pauseWeight = 0.1
	// slownessTolerance is the slowness up to which an upstream counts as fast as declared:
	// 1.25 is the mean of those that share their machine 0.15 of the time with work that
	// slows them 2.5 times. Less would prefer upstreams by measurements' noise.
	slownessTolerance = 1.25
	// slownessHalfLife is the time without a measured pause in which half of the distance
	// to the usual speed is forgotten, so that an upstream that was slow for seconds is
	// tried again.
	slownessHalfLife = 10 * time.Second
	// minSlowness and maxSlowness bound what one measurement may say.
	minSlowness = 0.5
	maxSlowness = 8
	// slowThreshold is the slowness from which an upstream is logged as slow, and
	// usualThreshold the one below which it no longer is.
	slowThreshold  = 1.8
	usualThreshold = 1.3
)

// speed is how fast an upstream generates in proportion to the declared engine. It is
// measured by the pauses between events: the first byte depends on queues that other
// entries fill, and the pace that upstreams state holds for a fraction of a second.
type speed struct {
	// slowness is 1 for the declared engine, and larger for a slower one.
	slowness   float64
	measuredAt time.Time
	// logged says that the upstream was last reported as slow.
	logged bool
}

// at returns the slowness now. It is 1 before the first measurement.
func (s *speed) at(now time.Time) float64 {
	if s.measuredAt.IsZero() {
		return 1
	}
	age := max(0, now.Sub(s.measuredAt))
	return 1 + (s.slowness-1)*math.Exp2(-age.Seconds()/slownessHalfLife.Seconds())
}

// factor returns how many times its forecast a request takes at the upstream now, for the
// comparison of upstreams. Admission goes by the forecast alone: where all fast upstreams
// are full, a slow one is late, and a refusal is later.
func (s *speed) factor(now time.Time) float64 {
	return max(1, s.at(now)/slownessTolerance)
}

// add takes in that the given number of pauses took so many times the expected time.
func (s *speed) add(now time.Time, pauses int, ratio float64) {
	keep := math.Pow(1-pauseWeight, float64(pauses))
	s.slowness = keep*s.at(now) + (1-keep)*min(maxSlowness, max(minSlowness, ratio))
	s.measuredAt = now
}

// expectedPause returns the time between two events of a stream in an engine that runs n
// requests: a pass, and the prefill of the prompts that begin during it.
func expectedPause(e *declarer.Engine, n int) time.Duration {
	return serviceTime(e, n) / time.Duration(passesPerAnswer(e))
}

// progressed measures the upstream by the pauses between the events of a stream since the
// last measurement by it.
func (r *Reducer) progressed(now time.Time, a *attempt, events int) {
	u, engine := a.target, r.services[a.Service].Engine
	r.recordActivity(now, u)
	pauses := events - a.measuredEvents
	if engine == nil || a.measuredEvents == 0 || pauses <= 0 {
		return
	}
	load, _ := u.load(now, 0)
	expected := expectedPause(engine, min(u.slots(), max(1, load)))
	if expected > 0 && !a.measuredAt.Before(u.resumedAt) {
		u.speed.add(now, pauses, float64(now.Sub(a.measuredAt))/float64(pauses)/float64(expected))
		r.noteSpeed(now, u)
	}
	a.measuredEvents, a.measuredAt = events, now
}

// SpeedChange reports that an upstream has become slow, or as fast as usual again.
type SpeedChange struct {
	Upstream identifier.Upstream
	Slow     bool
	// Slowness is how long it takes in proportion to the declared engine.
	Slowness float64
}

// TakeSpeedChanges returns the changes of speed since the last call.
func (r *Reducer) TakeSpeedChanges() []SpeedChange {
	changes := r.speedChanges
	r.speedChanges = nil
	return changes
}

// noteSpeed records that the upstream has become slow, or as fast as usual again.
func (r *Reducer) noteSpeed(now time.Time, u *upstream) {
	slowness := u.speed.at(now)
	if u.speed.logged == (slowness >= usualThreshold) || (!u.speed.logged && slowness < slowThreshold) {
		return
	}
	u.speed.logged = !u.speed.logged
	r.speedChanges = append(r.speedChanges, SpeedChange{Upstream: u.view.Upstream, Slow: u.speed.logged, Slowness: slowness})
}
