package router

import (
	"slices"

	"celeryvalve/identifier"
)

// tick handles timeouts and starts the requests that can start now.
func (r *Reducer) tick() {
	r.quarantine.expire(r.now)
	for _, s := range r.services {
		for _, id := range s.queue.Expire(r.now.Add(s.duration.Low())) {
			if q := r.requests[id]; q != nil {
				r.giveUp(q, DeadlineExceeded, r.retryAfter(s))
			}
		}
	}
	for _, id := range r.requestIDs() {
		if q := r.requests[id]; q != nil {
			r.tickRequest(q)
		}
	}
	r.dispatchAll()
}

func (r *Reducer) requestIDs() []identifier.RequestID {
	ids := make([]identifier.RequestID, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Reducer) tickRequest(q *request) {
	switch q.phase {
	case queued:
		r.tickQueued(q)
	case claiming:
		if r.now.Sub(q.since) > claimTimeout || !q.Deadline.After(r.now) {
			r.finish(q, NotRun, ClaimsUnavailable, minRetryAfter)
		}
	case verifying:
		if r.now.Sub(q.since) > claimTimeout {
			r.finish(q, Unknown, UpstreamLost, 0)
		}
	case attempting:
		r.tickAttempt(q)
	}
}

// tickQueued gives up a request that has been queued for noUpstreamTimeout if no
// upstream is eligible for it.
func (r *Reducer) tickQueued(q *request) {
	s := r.services[q.Service]
	if s == nil || r.now.Sub(q.since) < noUpstreamTimeout {
		return
	}
	usable := r.usableOf(s)
	if len(r.eligible(s, q, usable, countStable(usable, r.now))) == 0 {
		r.unqueue(q)
		r.giveUp(q, NoUpstream, minRetryAfter)
	}
}

func (r *Reducer) tickAttempt(q *request) {
	a := q.attempt
	switch {
	case !q.Deadline.After(r.now):
		r.cancel(q, !a.foreign)
		r.finish(q, Unknown, DeadlineExceeded, r.retryAfterOf(q))
	case !a.askAt.IsZero() && !a.askAt.After(r.now):
		r.ask(q, true)
	case a.askAt.IsZero() && r.now.Sub(a.lastProgress) >= silenceTimeout:
		r.ask(q, true)
	case r.isSlow(q) && r.hasRoomElsewhere(q) && r.mayRetry(q):
		r.cancel(q, true)
		r.retry(q)
	}
}

// hasRoomElsewhere reports whether another upstream could start the request now.
func (r *Reducer) hasRoomElsewhere(q *request) bool {
	s := r.services[q.Service]
	usable := r.usableOf(s)
	others := slices.DeleteFunc(r.withRoom(usable), func(u *upstream) bool {
		return u.view.Upstream == q.attempt.target.Upstream
	})
	return len(r.eligible(s, q, others, countStable(usable, r.now))) > 0
}

// isSlow reports whether an idempotent attempt has reached the progress timeout
// without a response.
func (r *Reducer) isSlow(q *request) bool {
	s := r.services[q.Service]
	if s == nil || q.Class != Idempotent || q.attempt.answering {
		return false
	}
	timeout, ok := s.progressTimeout()
	return ok && r.now.Sub(q.attempt.startedAt) >= timeout
}
