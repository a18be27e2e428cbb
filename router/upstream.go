package router

import (
	"math"
	"slices"
	"time"

	"celeryvalve/identifier"
)

const (
	assumedLimit    = 8
	assumedRoom     = 2
	loadHorizon     = time.Second
	latencyHorizon  = 10 * time.Second
	minLatency      = time.Millisecond
	minBackoff      = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
	maxBackoffSteps = 8
	// doubtTime is longer than the members list takes to drop a dead upstream.
	doubtTime       = 15 * time.Second
	notReadyBackoff = 300 * time.Millisecond
	maxFullTime     = 500 * time.Millisecond
)

// upstream is what the entry knows of one upstream: what the members list says,
// the last load report and its own observations.
type upstream struct {
	view UpstreamView

	load   LoadReport
	loadAt time.Time
	// others is how many requests of other entries the last report included.
	others int

	// started holds the own attempts by request, with when each was started. An
	// attempt that answers has the zero time.
	started map[identifier.RequestID]time.Time

	latency   time.Duration
	latencyAt time.Time

	failures  int
	downUntil time.Time
	fullUntil time.Time
	leaving   bool
	// doubtedUntil is set when the upstream failed and has taken no work since.
	doubtedUntil time.Time
	cache        *prefixCache
}

func newUpstream(view UpstreamView) *upstream {
	return &upstream{view: view, started: make(map[identifier.RequestID]time.Time), cache: newPrefixCache()}
}

// usable reports whether the upstream may be chosen. After a failure it gets one
// request at a time until it answers.
func (u *upstream) usable(now time.Time) bool {
	return u.open(now) && (u.failures == 0 || len(u.started) == 0)
}

// open reports whether the upstream takes new work, as far as known.
func (u *upstream) open(now time.Time) bool {
	return u.view.Ready && !u.view.Leaving && !u.leaving && !now.Before(u.downUntil)
}

// holds reports whether the upstream has what the service asks for, in any
// version: the former one serves until the new one is loaded.
func (u *upstream) holds(p ServicePolicy) bool {
	v := u.view
	if v.Service != p.Service {
		return false
	}
	if p.Model != "" && v.Model != p.Model {
		return false
	}
	for _, a := range p.Adapters {
		if !slices.Contains(v.Adapters, a) {
			return false
		}
	}
	return true
}

// isCurrent reports whether the upstream has the version that the service wants.
func (u *upstream) isCurrent(p ServicePolicy) bool {
	return p.Version == "" || u.view.Version == p.Version
}

// limit returns how many requests the upstream runs at once, as far as known.
func (u *upstream) limit() int {
	if u.load.Limit > 0 {
		return u.load.Limit
	}
	return assumedLimit
}

func (u *upstream) room() int {
	if u.load.Limit > 0 {
		return u.load.QueueRoom
	}
	return assumedRoom
}

// occupancy estimates how many requests the upstream has: the own ones, and
// those of others in the last report, which count less as the report ages.
func (u *upstream) occupancy(now time.Time) float64 {
	age := now.Sub(u.loadAt)
	return float64(len(u.started)) + float64(u.others)*math.Exp(-age.Seconds()/loadHorizon.Seconds())
}

func (u *upstream) hasRoom(now time.Time) bool {
	if now.Before(u.fullUntil) {
		return false
	}
	return u.occupancy(now) < float64(u.limit()+u.room())
}

// expectedLatency returns the time to the first byte that a new attempt can
// expect. The memory of a slow upstream fades towards the mean of the service, so
// that it is tried again; an attempt that still waits counts with its age.
func (u *upstream) expectedLatency(now time.Time, mean time.Duration) time.Duration {
	expected := mean
	if u.latency > 0 {
		faded := math.Exp(-now.Sub(u.latencyAt).Seconds() / latencyHorizon.Seconds())
		expected = mean + time.Duration(float64(u.latency-mean)*faded)
	}
	for _, at := range u.started {
		if !at.IsZero() {
			expected = max(expected, now.Sub(at))
		}
	}
	return max(expected, minLatency)
}

func (u *upstream) start(id identifier.RequestID, now time.Time) {
	u.started[id] = now
}

func (u *upstream) release(id identifier.RequestID) {
	delete(u.started, id)
}

// answered takes in the time to the first byte of the request's attempt.
func (u *upstream) answered(id identifier.RequestID, now time.Time) (time.Duration, bool) {
	at, ok := u.started[id]
	if !ok || at.IsZero() {
		return 0, false
	}
	u.started[id] = time.Time{}
	latency := now.Sub(at)
	if u.latency == 0 {
		u.latency = latency
	} else {
		u.latency += time.Duration(latencyWeight * float64(latency-u.latency))
	}
	u.latencyAt = now
	return latency, true
}

func (u *upstream) report(load LoadReport, now time.Time) {
	u.load = load
	u.loadAt = now
	u.others = max(0, load.Running+load.Queued-len(u.started))
	u.failures = 0
	u.downUntil = time.Time{}
	if load.Leaving {
		u.leaving = true
	}
}

// fail keeps new work away for a time that doubles with each failure in a row.
func (u *upstream) fail(now time.Time) {
	backoff := min(minBackoff<<min(u.failures, maxBackoffSteps), maxBackoff)
	u.failures++
	u.doubtedUntil = now.Add(doubtTime)
	u.downUntil = now.Add(backoff)
}

func (r *Reducer) changeUpstreams(views []UpstreamView) {
	present := make(map[identifier.Upstream]bool, len(views))
	for _, v := range views {
		present[v.Upstream] = true
		u := r.upstreams[v.Upstream]
		if u == nil || u.view.Incarnation < v.Incarnation {
			r.upstreams[v.Upstream] = newUpstream(v)
			continue
		}
		if u.view.Incarnation == v.Incarnation {
			u.take(v)
		}
	}
	for name := range r.upstreams {
		if !present[name] {
			delete(r.upstreams, name)
		}
	}
	for _, s := range r.services {
		s.peak = max(s.peak, len(r.usableOf(s)))
	}
	r.dispatchAll()
}

// take replaces the view. An upstream that became ready again is not doubted.
func (u *upstream) take(view UpstreamView) {
	if view.Ready && !u.view.Ready {
		u.doubtedUntil = time.Time{}
	}
	u.view = view
}

// steady counts the upstreams that have not failed lately, or took work since.
func steady(usable []*upstream, now time.Time) int {
	n := 0
	for _, u := range usable {
		if !now.Before(u.doubtedUntil) {
			n++
		}
	}
	return n
}

// usableOf returns the upstreams of the service that may be given new work, by name.
func (r *Reducer) usableOf(s *service) []*upstream {
	var list []*upstream
	for _, u := range r.upstreams {
		if u.usable(r.now) && u.holds(s.policy) {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *upstream) int {
		if a.view.Upstream < b.view.Upstream {
			return -1
		}
		return 1
	})
	return list
}
