package router

import (
	"net/http"
	"time"
)

func (r *Reducer) recordProgress(q *request) {
	q.attempt.lastProgress = r.now
	q.attempt.asks = 0
	q.attempt.askAt = time.Time{}
}

func (r *Reducer) recordLoad(q *request, load LoadReport) {
	u := r.upstreams[q.attempt.target.Upstream]
	if u == nil || u.view.Incarnation != q.attempt.target.Incarnation {
		return
	}
	u.recordLoad(load, r.now)
}

func (r *Reducer) attemptAccepted(e AttemptWasAccepted) {
	q := r.currentAttempt(e.Request, e.Attempt)
	if q == nil {
		return
	}
	q.attempt.accepted = true
	if u := r.upstreams[q.attempt.target.Upstream]; u != nil {
		u.unstableUntil = time.Time{}
	}
	r.recordProgress(q)
	r.recordLoad(q, e.Load)
}

func (r *Reducer) attemptProgressed(e AttemptProgressed) {
	q := r.currentAttempt(e.Request, e.Attempt)
	if q == nil {
		return
	}
	r.recordProgress(q)
	if e.Load != nil {
		r.recordLoad(q, *e.Load)
	}
}

// attemptAnswering passes the response on to the caller. If the status says that
// the upstream is unavailable (502, 503 or 429) and the request is idempotent, it
// retries on another upstream instead where possible.
func (r *Reducer) attemptAnswering(e AttemptAnswering) {
	q := r.currentAttempt(e.Request, e.Attempt)
	if q == nil || q.attempt.answering {
		return
	}
	r.recordProgress(q)
	if unavailable(e.Status) && q.Class == Idempotent && !q.passed && r.mayRetry(q) {
		r.cancel(q, true)
		r.retry(q)
		return
	}
	q.attempt.answering = true
	r.observeLatency(q)
	if q.passed {
		return
	}
	q.passed = true
	r.emit(PassOn{Request: q.ID, Attempt: q.attempt.id})
}

func (r *Reducer) observeLatency(q *request) {
	u := r.upstreams[q.attempt.target.Upstream]
	s := r.services[q.Service]
	if u == nil || s == nil {
		return
	}
	if latency, ok := u.recordLatency(q.ID, r.now); ok {
		s.latency.Add(latency)
	}
}

func (r *Reducer) attemptEnded(e AttemptEnded) {
	q := r.currentAttempt(e.Request, e.Attempt)
	if q == nil {
		return
	}
	u := r.upstreams[q.attempt.target.Upstream]
	s := r.services[q.Service]
	if s != nil && !q.attempt.foreign {
		s.recordEnd(r.now, r.now.Sub(q.attempt.startedAt))
	}
	if u != nil && u.view.Incarnation == q.attempt.target.Incarnation {
		u.release(q.ID)
		u.recordLoad(e.Load, r.now)
		u.prefixes.Report(e.Cache.Sequence, e.Cache.Held)
		u.prefixes.Add(q.beginning)
	}
	r.quarantine.completed(q.Fingerprint)
	if e.Status >= http.StatusInternalServerError {
		r.finish(q, Failed, UpstreamError, 0)
	} else {
		r.finish(q, Completed, "", 0)
	}
	if s != nil {
		r.dispatch(s)
	}
}

func (r *Reducer) attemptRefused(e AttemptWasRefused) {
	q := r.currentAttempt(e.Request, e.Attempt)
	if q == nil {
		return
	}
	a := q.attempt
	r.recordLoad(q, e.Load)
	if a.answering {
		r.attemptLost(q, BrokenAnswer)
		return
	}
	if e.Reason == OtherIncarnation && (a.accepted || a.asks > 0) {
		// An earlier incarnation may have started the attempt, so the refusal by a
		// later one doesn't prove that it never ran.
		r.attemptLost(q, UpstreamLost)
		return
	}
	r.recordRefusal(q, e)
	q.token = a.token
	q.refusals++
	r.release(q)
	switch {
	case e.Reason == Expired && !a.foreign:
		r.giveUp(q, DeadlineExceeded, r.retryAfterOf(q))
	case e.Reason == Suspected:
		r.quarantine.refuse(q.Fingerprint, r.now)
		r.giveUp(q, Quarantined, 0)
	case q.refusals > maxRefusals:
		r.giveUp(q, Overloaded, r.retryAfterOf(q))
	default:
		r.requeue(q)
	}
}

// recordRefusal updates the state of the upstream by the reason of the refusal.
func (r *Reducer) recordRefusal(q *request, e AttemptWasRefused) {
	u := r.upstreams[q.attempt.target.Upstream]
	if u == nil || u.view.Incarnation != q.attempt.target.Incarnation {
		return
	}
	switch e.Reason {
	case Busy:
		u.busyUntil = r.now.Add(min(max(e.RetryAfter, askBackoff/4), maxBusyTime))
	case Leaving:
		u.leaving = true
	case NotReady:
		u.unstableUntil = r.now.Add(unstableTime)
		u.downUntil = r.now.Add(notReadyBackoff)
	case OtherIncarnation:
		u.fail(r.now)
	}
}

func (r *Reducer) retryAfterOf(q *request) time.Duration {
	if s := r.services[q.Service]; s != nil {
		return r.retryAfter(s)
	}
	return minRetryAfter
}

func (r *Reducer) attemptBroke(e AttemptBroke) {
	q := r.currentAttempt(e.Request, e.Attempt)
	if q == nil {
		return
	}
	switch e.Kind {
	case NotHandedOver:
		r.notHandedOver(q)
	case LinkLost:
		r.ask(q, false)
	case AskFailed:
		r.askLater(q)
	case Gone:
		r.attemptGone(q, e.Reason)
	default:
		r.cancel(q, true)
		r.attemptLost(q, BrokenAnswer)
	}
}

func (r *Reducer) notHandedOver(q *request) {
	a := q.attempt
	a.handedOver = false
	q.token = a.token
	q.refusals++
	q.avoid[a.target.Upstream] = true
	r.failUpstream(q)
	if q.refusals > maxRefusals {
		r.release(q)
		r.giveUp(q, NoUpstream, minRetryAfter)
		return
	}
	r.requeue(q)
}

func (r *Reducer) failUpstream(q *request) {
	u := r.upstreams[q.attempt.target.Upstream]
	if u != nil && u.view.Incarnation == q.attempt.target.Incarnation {
		u.fail(r.now)
	}
}

func (r *Reducer) ask(q *request, fresh bool) {
	a := q.attempt
	a.asks++
	a.askAt = time.Time{}
	a.lastProgress = r.now
	if fresh {
		r.failUpstream(q)
	}
	if a.asks > maxAsks {
		r.cancel(q, !a.foreign)
		r.attemptLost(q, UpstreamLost)
		return
	}
	r.emit(AskAttempt{Request: q.ID, Attempt: a.id, Holder: a.holder, Target: a.target, Fresh: fresh})
}

// askLater asks again after a pause. It gives the attempt up if the upstream has
// left the membership list or has been asked maxAsks times, and retries an
// idempotent request on another upstream where possible.
func (r *Reducer) askLater(q *request) {
	r.failUpstream(q)
	a := q.attempt
	u := r.upstreams[a.target.Upstream]
	present := u != nil && u.view.Incarnation == a.target.Incarnation
	switch {
	case !present || a.asks >= maxAsks:
		r.cancel(q, !a.foreign)
		r.attemptLost(q, UpstreamLost)
	case q.Class == Idempotent && !q.passed && r.mayRetry(q):
		r.cancel(q, true)
		r.retry(q)
	default:
		a.askAt = r.now.Add(askBackoff << a.asks)
	}
}

func (r *Reducer) attemptGone(q *request, reason GoneReason) {
	switch reason {
	case UpstreamCrashed:
		r.quarantine.crashed(q.Fingerprint, q.attempt.alone, r.now)
		r.failUpstream(q)
	case Restarted, TimedOut:
		r.failUpstream(q)
	}
	r.attemptLost(q, UpstreamLost)
}

// attemptLost decides how a request goes on after an attempt that may have run. A
// non-idempotent request is verified with the control plane; an idempotent one is
// retried where possible, and otherwise answered as Unknown.
func (r *Reducer) attemptLost(q *request, cause Cause) {
	q.mayHaveRun = true
	switch {
	case q.Class == NonIdempotent:
		r.verify(q)
	case q.passed:
		r.finish(q, Unknown, cause, 0)
	case r.quarantine.refuses(q.Fingerprint):
		r.finish(q, Unknown, Quarantined, 0)
	case q.callerGone || !r.mayRetry(q):
		r.finish(q, Unknown, cause, r.retryAfterOf(q))
	default:
		r.retry(q)
	}
}

// mayRetry reports whether the request may be sent to another upstream, and if so
// takes one retry from the service's budget.
func (r *Reducer) mayRetry(q *request) bool {
	s := r.services[q.Service]
	if s == nil || q.sends >= maxSends || !q.Deadline.After(r.now) {
		return false
	}
	for _, u := range r.usableOf(s) {
		if u.view.Upstream != q.attempt.target.Upstream && !q.avoid[u.view.Upstream] {
			return s.budget.Take()
		}
	}
	return false
}

// retry queues an idempotent request again and excludes the upstream of its last
// attempt.
func (r *Reducer) retry(q *request) {
	q.mayHaveRun = true
	q.avoid[q.attempt.target.Upstream] = true
	r.requeue(q)
}

func unavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return false
}
