package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	// maxResumeDelay bounds how long after the end of a rest an entry resumes. Each entry has
	// a delay of its own, as an upstream may have asked all of them at the same moment.
	maxResumeDelay = 250 * time.Millisecond
	// recoveryTime is how long after it resumes the entry prefers other upstreams, less and
	// less. An upstream that has rested is idle, and would be the first choice of all entries.
	recoveryTime    = time.Second
	recoveryPenalty = 250 * time.Millisecond
	// maxRestRetrySpread is the range over which the callers that were refused for a rest are
	// spread after its end.
	maxRestRetrySpread = maxRetryAfter - minRetryAfter
	// leavingRetention is how long an upstream that leaves is known by its answers. It ends
	// some seconds after them.
	leavingRetention = time.Hour
)

// notice is what an upstream has asked of this entry in its answers.
type notice struct {
	restUntil   time.Time
	resumeDelay time.Duration
	// leavingAt is when the upstream first said that it leaves, or zero.
	leavingAt time.Time
}

// UpstreamNotice reports that an upstream has asked this entry for something.
type UpstreamNotice struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Request is the request whose answer said so.
	Request identifier.RequestID
	// Rest is how long the upstream wants no requests, or 0 if it leaves.
	Rest time.Duration
}

// TakeNotices returns the notices since the last call. A rest that is prolonged is reported once.
func (r *Reducer) TakeNotices() []UpstreamNotice {
	notices := r.newNotices
	r.newNotices = nil
	return notices
}

// noticeOf returns the notice of the process, which it adds if there is none. It drops those
// that have no effect any more.
func (r *Reducer) noticeOf(now time.Time, p process) *notice {
	for other, n := range r.notices {
		if now.Sub(n.resumesAt()) > recoveryTime && now.Sub(n.leavingAt) > leavingRetention {
			delete(r.notices, other)
		}
	}
	if n, ok := r.notices[p]; ok {
		return n
	}
	delay := xxhash.Sum64String(string(r.cfg.Entry)+"\x00"+string(p.upstream)) % uint64(maxResumeDelay)
	n := &notice{resumeDelay: time.Duration(delay)}
	r.notices[p] = n
	if u, ok := r.upstreams[p.upstream]; ok && u.process() == p {
		u.notice = n
	}
	return n
}

// requestRest takes in that an upstream wants no requests of this entry for a time.
func (r *Reducer) requestRest(now time.Time, e RestRequested) {
	n := r.noticeOf(now, process{e.Upstream, e.Incarnation})
	until := now.Add(e.Rest)
	if !until.After(n.restUntil) {
		return
	}
	if !now.Before(n.restUntil) {
		r.newNotices = append(r.newNotices, UpstreamNotice{Upstream: e.Upstream, Incarnation: e.Incarnation, Request: e.Request, Rest: e.Rest})
	}
	n.restUntil = until
}

// resumesAt returns when this entry may send requests again, or zero if there was no rest.
func (n *notice) resumesAt() time.Time {
	if n == nil || n.restUntil.IsZero() {
		return time.Time{}
	}
	return n.restUntil.Add(n.resumeDelay)
}

// resting reports whether the upstream gets no requests because it has asked for rest.
func (u *upstream) resting(now time.Time) bool {
	return now.Before(u.notice.resumesAt())
}

// recoveryPenalty is added to the forecast of an upstream that has lately rested.
func (u *upstream) recoveryPenalty(now time.Time) time.Duration {
	left := recoveryTime - now.Sub(u.notice.resumesAt())
	return time.Duration(float64(recoveryPenalty) * max(0, left.Seconds()/recoveryTime.Seconds()))
}

// recordLeaving takes in that an upstream is about to end. That is final for its incarnation,
// whatever it reports later.
func (r *Reducer) recordLeaving(now time.Time, e LeavingStated) {
	n := r.noticeOf(now, process{e.Upstream, e.Incarnation})
	if !n.leavingAt.IsZero() {
		return
	}
	n.leavingAt = now
	r.newNotices = append(r.newNotices, UpstreamNotice{Upstream: e.Upstream, Incarnation: e.Incarnation, Request: e.Request})
}

// draining reports whether the upstream accepts no new requests since it is about to end.
func (u *upstream) draining() bool {
	return u.view.Draining || u.leaving()
}

// leaving reports whether the upstream has said in an answer to this entry that it leaves.
func (u *upstream) leaving() bool {
	return u.notice != nil && !u.notice.leavingAt.IsZero()
}

// maySendNow reports whether the upstream of the attempt, which was chosen before the
// connection was made, may still get it.
func (r *Reducer) maySendNow(now time.Time, a *attempt) bool {
	u := a.target
	return !r.isRuledOut(now, a) && !u.resting(now) && !u.leaving() && a.mayBeServedAt(u) && !r.evacuates(now, u) && !u.overdueForCold(now, a)
}

// connected decides whether an attempt that has a connection is still to be sent.
func (r *Reducer) connected(now time.Time, e AttemptConnected) Effect {
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok {
		return NoEffect{}
	}
	if r.maySendNow(now, a) {
		a.sent = true
		return NoEffect{}
	}
	return r.withhold(now, a)
}

// withhold ends an attempt that was not sent, and finds another upstream for its request.
func (r *Reducer) withhold(now time.Time, a *attempt) Effect {
	r.releaseAttempt(a, false)
	a.attempts--
	if a.hasResponsiveAttempt() {
		return Await{Request: a.ID}
	}
	return r.dispatch(now, a.request)
}

// firstRestEnd returns the end of the first rest to end of the upstreams that may serve the
// request, or zero if none of them rests.
func (r *Reducer) firstRestEnd(now time.Time, q *Request) time.Time {
	var first time.Time
	for _, u := range r.byService[q.Service] {
		if !q.mayBeServedAt(u) || u.draining() || !u.resting(now) || r.evacuates(now, u) {
			continue
		}
		if end := u.notice.resumesAt(); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// restRetryAfter returns the Retry-After of a request whose upstreams all rest: the end of
// the first rest and a random time more, so that callers don't return together.
func (r *Reducer) restRetryAfter(now time.Time, q *Request) time.Duration {
	wait := r.firstRestEnd(now, q).Sub(now)
	latest := q.Deadline.Sub(now) / maxRetryAfterDivisor
	if wait >= latest {
		return r.lateRetryAfter(now, q)
	}
	return wait + time.Duration(limiter.SplitMix64(q.Random)%uint64(min(maxRestRetrySpread, latest-wait)))
}
