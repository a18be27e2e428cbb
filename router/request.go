package router

import (
	"fmt"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/indexer"
	"celeryvalve/limiter"
)

type phase int

const (
	queued phase = iota
	claiming
	attempting
	// verifying: the attempt was lost, and the control plane is asked for a stored
	// outcome.
	verifying
)

// request is a request that has not been answered yet.
type request struct {
	RequestArrived

	// beginning holds the prefixes of the prompt, for comparison with what upstreams hold.
	beginning indexer.Beginning
	phase     phase
	since     time.Time
	item      limiter.Item[identifier.Organisation, identifier.RequestID]
	attempt   *attempt
	ordinal   int
	sends     int
	refusals  int
	random    uint64
	avoid     map[identifier.Upstream]bool
	// token is the fencing token of a claim whose attempt is confirmed as refused.
	token identifier.FencingToken
	// mayHaveRun says that an earlier attempt was lost after it was handed over.
	mayHaveRun bool
	// passed says that the response of an attempt was passed on to the caller.
	passed     bool
	callerGone bool
}

// attempt is one try to run a request on one upstream.
type attempt struct {
	id     identifier.AttemptID
	holder identifier.RequestID
	target Target
	token  identifier.FencingToken
	// foreign says that the attempt belongs to another request with the same key.
	foreign bool
	// counted says that the attempt counts against its upstream's concurrency.
	counted      bool
	handedOver   bool
	accepted     bool
	answering    bool
	alone        bool
	startedAt    time.Time
	lastProgress time.Time
	asks         int
	askAt        time.Time
}

// heldShare returns the share of the request's prefixes that the upstream is estimated to
// hold, counted from the first one up to the first that is missing.
func (q *request) heldShare(u *upstream) float64 {
	if len(q.beginning) == 0 {
		return 0
	}
	return float64(u.prefixes.Blocks(q.beginning)) / float64(len(q.beginning))
}

// current returns the request if the attempt is its current one. Messages of any
// other attempt are late or misdirected and are ignored.
func (r *Reducer) current(id identifier.RequestID, attemptID identifier.AttemptID) *request {
	q := r.requests[id]
	if q == nil || q.attempt == nil || q.attempt.id != attemptID {
		return nil
	}
	return q
}

// currentAttempt returns the request if the attempt is its current one and was
// handed over.
func (r *Reducer) currentAttempt(id identifier.RequestID, attemptID identifier.AttemptID) *request {
	q := r.current(id, attemptID)
	if q == nil || q.phase != attempting {
		return nil
	}
	return q
}

func (r *Reducer) arrive(e RequestArrived) {
	if r.requests[e.ID] != nil {
		return
	}
	q := &request{RequestArrived: e, beginning: indexer.FromHashes(e.Prefixes), random: e.Random, avoid: make(map[identifier.Upstream]bool)}
	r.requests[e.ID] = q
	s := r.services[e.Service]
	switch {
	case s == nil:
		r.finish(q, NotRun, UnknownService, 0)
	case r.draining:
		r.finish(q, NotRun, NoUpstream, minRetryAfter)
	case r.quarantine.refuses(e.Fingerprint):
		r.finish(q, NotRun, Quarantined, 0)
	case !e.Deadline.After(r.now):
		r.finish(q, NotRun, DeadlineExceeded, r.retryAfter(s))
	case !r.canMeet(s, e.Organisation, e.Deadline):
		r.finish(q, NotRun, Overloaded, r.retryAfter(s))
	default:
		r.enqueue(s, q)
		r.dispatch(s)
	}
}

func (r *Reducer) enqueue(s *service, q *request) {
	q.phase = queued
	q.since = r.now
	q.item = limiter.Item[identifier.Organisation, identifier.RequestID]{
		Flow:     q.Organisation,
		Weight:   r.weightOf(q.Organisation),
		Deadline: q.Deadline,
		Value:    q.ID,
	}
	evicted, full := s.queue.Push(q.item)
	if !full {
		return
	}
	if victim := r.requests[evicted]; victim != nil {
		r.giveUp(victim, Overloaded, r.retryAfter(s))
	}
}

// requeue drops the attempt of the request and puts the request back at its former
// place in the queue.
func (r *Reducer) requeue(q *request) {
	r.release(q)
	s := r.services[q.Service]
	if s == nil {
		r.giveUp(q, UnknownService, 0)
		return
	}
	if q.callerGone {
		r.giveUp(q, CallerLeft, 0)
		return
	}
	q.phase = queued
	q.since = r.now
	s.queue.Restore(q.item)
	r.dispatch(s)
}

func (r *Reducer) callerGone(e CallerGone) {
	q := r.requests[e.Request]
	if q == nil {
		return
	}
	q.callerGone = true
	switch q.phase {
	case queued:
		r.unqueue(q)
		r.giveUp(q, CallerLeft, 0)
	case claiming, verifying:
		// The control plane's answer ends the request.
	case attempting:
		r.cancel(q, !q.attempt.foreign)
		r.finish(q, Unknown, CallerLeft, 0)
	}
}

// endAll answers all requests: those that may have run as Unknown, the others as NotRun.
func (r *Reducer) endAll() {
	for _, id := range r.requestIDs() {
		q := r.requests[id]
		switch q.phase {
		case queued:
			r.unqueue(q)
			r.giveUp(q, DrainTimeout, minRetryAfter)
		case claiming:
			r.finish(q, NotRun, DrainTimeout, minRetryAfter)
		case verifying:
			r.finish(q, Unknown, DrainTimeout, 0)
		case attempting:
			r.cancel(q, !q.attempt.foreign)
			r.finish(q, Unknown, DrainTimeout, 0)
		}
	}
}

func (r *Reducer) unqueue(q *request) {
	if s := r.services[q.Service]; s != nil {
		s.queue.RemoveWhere(func(id identifier.RequestID) bool { return id == q.ID })
	}
}

// cancel gives up the current attempt. If stop is set, the agent is told to refuse
// or end it.
func (r *Reducer) cancel(q *request, stop bool) {
	r.emit(CancelAttempt{Request: q.ID, Attempt: q.attempt.id, Target: q.attempt.target, Stop: stop})
}

func (r *Reducer) weightOf(org identifier.Organisation) float64 {
	if p, ok := r.organisations[org]; ok && p.Weight > 0 {
		return p.Weight
	}
	return 1
}

func (q *request) nextAttemptID() identifier.AttemptID {
	q.ordinal++
	return identifier.AttemptID(fmt.Sprintf("%s/%d", q.ID, q.ordinal))
}

func (q *request) nextRandom() uint64 {
	q.random = limiter.SplitMix64(q.random)
	return q.random
}
