package router

import (
	"math"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/indexer"
)

const (
	assumedLimit     = 8
	assumedRoom      = 2
	loadDecayTime    = time.Second
	latencyDecayTime = 10 * time.Second
	minLatency       = time.Millisecond
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxBackoffSteps  = 8
	// unstableTime is longer than the membership list takes to drop a dead
	// upstream.
	unstableTime    = 15 * time.Second
	notReadyBackoff = 300 * time.Millisecond
	maxBusyTime     = 500 * time.Millisecond
)

// upstream is what the entry knows of one upstream: its view from the membership
// list, the last load report and the entry's own observations.
type upstream struct {
	view UpstreamView

	load   LoadReport
	loadAt time.Time
	// otherEntries is how many requests of other entries the last report included.
	otherEntries int

	// started maps the entry's own attempts, by request, to the time when each
	// started. The time is zero once the response of the attempt has begun.
	started map[identifier.RequestID]time.Time

	latency   time.Duration
	latencyAt time.Time

	failures  int
	downUntil time.Time
	busyUntil time.Time
	leaving   bool
	// unstableUntil is set when the upstream fails, and cleared when it accepts
	// work or becomes ready again.
	unstableUntil time.Time
	// prefixes are the beginnings of prompts that the upstream holds.
	prefixes *indexer.Holder
}

func newUpstream(view UpstreamView) *upstream {
	return &upstream{view: view, started: make(map[identifier.RequestID]time.Time), prefixes: indexer.NewHolder(indexer.MaxBlocks)}
}

// usable reports whether the upstream may be chosen. After a failure it gets one
// request at a time until it responds.
func (u *upstream) usable(now time.Time) bool {
	return u.open(now) && (u.failures == 0 || len(u.started) == 0)
}

// open reports whether the upstream takes new work: it is ready, is not leaving and
// is not in a backoff after a failure.
func (u *upstream) open(now time.Time) bool {
	return u.view.Ready && !u.view.Leaving && !u.leaving && !now.Before(u.downUntil)
}

// holds reports whether the upstream has the model and adapters of the service, in
// any version: the previous version serves until the new one is loaded.
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

// limit returns how many requests the upstream runs at once, or assumedLimit until
// a report gives the number.
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

// occupancy estimates how many requests the upstream has: the entry's own ones, and
// those of other entries in the last report, which count less as the report ages.
func (u *upstream) occupancy(now time.Time) float64 {
	age := now.Sub(u.loadAt)
	return float64(len(u.started)) + float64(u.otherEntries)*math.Exp(-age.Seconds()/loadDecayTime.Seconds())
}

func (u *upstream) hasRoom(now time.Time) bool {
	if now.Before(u.busyUntil) {
		return false
	}
	return u.occupancy(now) < float64(u.limit()+u.room())
}

// expectedLatency returns the expected time to the first byte of a new attempt. The
// latency observed at the upstream decays towards the mean of the service, so that
// a slow upstream is tried again; an attempt that still waits raises it to at least
// its age.
func (u *upstream) expectedLatency(now time.Time, mean time.Duration) time.Duration {
	expected := mean
	if u.latency > 0 {
		decay := math.Exp(-now.Sub(u.latencyAt).Seconds() / latencyDecayTime.Seconds())
		expected = mean + time.Duration(float64(u.latency-mean)*decay)
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

// recordLatency records the time to the first byte of the request's attempt and
// returns it. It reports false if it was recorded before or the attempt is not
// known.
func (u *upstream) recordLatency(id identifier.RequestID, now time.Time) (time.Duration, bool) {
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

func (u *upstream) recordLoad(load LoadReport, now time.Time) {
	u.load = load
	u.loadAt = now
	u.otherEntries = max(0, load.Running+load.Queued-len(u.started))
	u.failures = 0
	u.downUntil = time.Time{}
	if load.Leaving {
		u.leaving = true
	}
}

// fail keeps new work away from the upstream for a time that doubles with each
// consecutive failure, up to maxBackoff.
func (u *upstream) fail(now time.Time) {
	backoff := min(minBackoff<<min(u.failures, maxBackoffSteps), maxBackoff)
	u.failures++
	u.unstableUntil = now.Add(unstableTime)
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
			u.setView(v)
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

// setView replaces the view. An upstream that became ready again is no longer
// unstable.
func (u *upstream) setView(view UpstreamView) {
	if view.Ready && !u.view.Ready {
		u.unstableUntil = time.Time{}
	}
	if view.Model != u.view.Model || view.Version != u.view.Version {
		u.prefixes.Clear()
	}
	u.view = view
}

// countStable counts the upstreams that have not failed lately or have accepted
// work since.
func countStable(usable []*upstream, now time.Time) int {
	n := 0
	for _, u := range usable {
		if !now.Before(u.unstableUntil) {
			n++
		}
	}
	return n
}

// usableOf returns the upstreams that may be given new work of the service, sorted
// by name.
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
