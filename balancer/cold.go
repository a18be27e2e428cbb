package balancer

import (
	"time"

	"celeryvalve/identifier"
)

const (
	// coldStartFraction is the part of what a cold upstream bears that it gets when it
	// turns cold. The rest is left for entries that have not heard of it yet: at full load
	// they send it about as much. The part grows to 1 while the upstream warms up.
	coldStartFraction = 0.5
	// coldNewsDelay is the most that an entry needs to hear that an upstream is cold: the
	// interval of its reports (1.2 s), and the time to spread them (0.5 s).
	coldNewsDelay = 1700 * time.Millisecond
	// maxPacedDelay is how old the decision to send to a cold upstream may be when its
	// connection is ready. Later, requests that waited for it would be sent together.
	maxPacedDelay = 100 * time.Millisecond
)

// ColdStated says that an upstream stays cold for the given time, by an answer.
type ColdStated struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Remaining   time.Duration
}

func (ColdStated) isEvent() {}

// ColdChange reports that an upstream is known to be cold, or has warmed up.
type ColdChange struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Remaining is how long the upstream stays cold, or 0 if it has warmed up.
	Remaining time.Duration
	// Share is the part of its requests per second that this entry sends at first.
	Share float64
}

// coldness is what is known of how long an upstream stays cold. The zero value is warm.
type coldness struct {
	// statedUntil is the end by an answer, and suspectedUntil the end of the time in which
	// an upstream that was unreachable may be cold without this entry having heard of it.
	statedUntil    time.Time
	suspectedUntil time.Time
	// bound reports whether the upstream gets no more than a cold one bears, and reported
	// whether a ColdChange has said so.
	bound    bool
	reported bool
	// span is the longest time that it was known to stay cold.
	span time.Duration
}

// TakeColdChanges returns the changes between cold and warm since the last call.
func (r *Reducer) TakeColdChanges() []ColdChange {
	changes := r.coldChanges
	r.coldChanges = nil
	return changes
}

// observeCold takes in that an answer says how long its upstream stays cold.
func (r *Reducer) observeCold(now time.Time, e ColdStated) {
	u, ok := r.upstreams[e.Upstream]
	if !ok || u.view.Incarnation != e.Incarnation {
		return
	}
	u.cold.statedUntil = later(u.cold.statedUntil, now.Add(e.Remaining))
	r.updateCold(now, u)
}

// suspectCold takes in that the upstream can't be reached, or can be again. It may have
// been started anew, or may come back cold, before this entry hears so.
func (r *Reducer) suspectCold(now time.Time, u *upstream) {
	u.cold.suspectedUntil = later(now, u.ejectedUntil).Add(coldNewsDelay)
	r.updateCold(now, u)
}

// updateCold begins or ends the bound on what a cold upstream gets.
func (r *Reducer) updateCold(now time.Time, u *upstream) {
	top := r.coldTop(u)
	left := u.coldRemaining(now)
	if top == 0 {
		left = 0
	}
	bound := top > 0 && (left > 0 || now.Before(u.cold.suspectedUntil))
	u.cold.span = max(u.cold.span, left)
	if left == 0 {
		u.cold.span = 0
	}
	if bound != u.cold.bound {
		u.cold.bound = bound
		r.updateShare(now, u)
	}
	if known := left > 0; known != u.cold.reported {
		u.cold.reported = known
		change := ColdChange{Upstream: u.view.Upstream, Incarnation: u.view.Incarnation, Remaining: left}
		if u.pacer != nil {
			change.Share = u.coldPace(now, top) / float64(u.holders)
		}
		r.coldChanges = append(r.coldChanges, change)
	}
	if bound && u.pacer != nil {
		u.pacer.SetRate(r.ownPace(now, u))
	}
}

// coldTop returns the most requests per second that all entries together send to a cold
// upstream of the service, or 0 if its upstreams are never cold. In one second each entry
// with a share may send one more than that, which the bound must leave room for.
func (r *Reducer) coldTop(u *upstream) float64 {
	rate := r.services[u.view.Service].ColdRate
	if rate <= 0 || r.cfg.ColdOverage <= 0 {
		return max(0, rate)
	}
	room := rate*r.cfg.ColdOverage + r.cfg.ColdAllowance - float64(holdersOf(rate))
	return max(minColdRate, min(rate, room))
}

// takeoverFraction returns the part of its share that an entry uses although another one may
// still use the same share. Together, with one request more from each, they stay within what a
// cold upstream bears. It is 0 for an upstream with a limit, which must hold at once.
func (r *Reducer) takeoverFraction(u *upstream) float64 {
	rate := r.services[u.view.Service].ColdRate
	if !u.cold.bound || u.limit.InForce || rate <= 0 || r.cfg.ColdOverage <= 0 {
		return 0
	}
	room := rate*r.cfg.ColdOverage + r.cfg.ColdAllowance - 2*float64(holdersOf(rate))
	return min(1, max(0, room/r.coldTop(u)-1))
}

// minColdRate keeps what is sent to a cold upstream positive, in requests per second.
const minColdRate = 0.5

// coldRemaining returns how long the upstream is known to stay cold.
func (u *upstream) coldRemaining(now time.Time) time.Duration {
	return max(0, later(u.view.ColdUntil, u.cold.statedUntil).Sub(now))
}

// coldPace returns how many requests per second all entries together send to the cold
// upstream now, of at most top.
func (u *upstream) coldPace(now time.Time, top float64) float64 {
	left, span := u.coldRemaining(now), u.cold.span
	if left == 0 || span == 0 {
		return top * coldStartFraction
	}
	return top * (1 - (1-coldStartFraction)*left.Seconds()/span.Seconds())
}

// limited reports whether entries send the upstream no more than their shares.
func (u *upstream) limited() bool {
	return u.limit.InForce || u.cold.bound
}

// paceOf returns the requests per second that all entries together may send to the upstream
// now, by its limit or since it is cold.
func (r *Reducer) paceOf(now time.Time, u *upstream) float64 {
	pace := u.coldPace(now, r.coldTop(u))
	switch {
	case !u.cold.bound:
		return u.limit.Pace()
	case u.limit.InForce:
		return min(pace, u.limit.Pace())
	default:
		return pace
	}
}

// topPace returns the highest pace of the upstream while its limit and its coldness last.
// It decides how many entries share it, so that no share passes on while it warms up.
func (r *Reducer) topPace(u *upstream) float64 {
	switch {
	case !u.cold.bound:
		return u.limit.Pace()
	case u.limit.InForce:
		return min(r.coldTop(u), u.limit.Pace())
	default:
		return r.coldTop(u)
	}
}

// overdueForCold reports whether the attempt, which has its connection only now, was not
// decided under the bound of a cold upstream, or too long ago.
func (u *upstream) overdueForCold(now time.Time, a *attempt) bool {
	return u.cold.bound && (!a.paced || now.Sub(a.sentAt) > maxPacedDelay)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordPacedSend counts the attempt against this entry's share.
func (u *upstream) recordPacedSend(now time.Time, a *attempt) {
	a.paced = u.limited()
	if a.paced {
		u.pacer.Record(now)
	}
}
