package router

import (
	"fmt"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
)

const (
	silenceTimeout    = 2 * time.Second
	claimTimeout      = 5 * time.Second
	noUpstreamTimeout = 2 * time.Second
	askBackoff        = 200 * time.Millisecond
	maxAsks           = 3
	maxSends          = 3
	maxRefusals       = 16
	minRetryAfter     = time.Second
	maxRetryAfter     = 30 * time.Second
	defaultMaxQueued  = 256
	defaultRetryRatio = 0.1
	retryBurst        = 10
)

// Config is the location of the entry.
type Config struct {
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
}

// Reducer decides where the requests of one entry run and how they are answered. It
// is not safe for concurrent use.
type Reducer struct {
	cfg           Config
	check         asserter.Asserter
	services      map[identifier.Service]*service
	upstreams     map[identifier.Upstream]*upstream
	requests      map[identifier.RequestID]*request
	organisations map[identifier.Organisation]OrganisationPolicy
	quarantine    quarantine
	draining      bool
	drained       bool

	now     time.Time
	effects []Effect
}

// New returns a reducer without services and upstreams. Broken invariants are
// reported to check.
func New(cfg Config, check asserter.Asserter) *Reducer {
	return &Reducer{
		cfg:           cfg,
		check:         check,
		services:      make(map[identifier.Service]*service),
		upstreams:     make(map[identifier.Upstream]*upstream),
		requests:      make(map[identifier.RequestID]*request),
		organisations: make(map[identifier.Organisation]OrganisationPolicy),
		quarantine:    newQuarantine(),
	}
}

// Reduce processes one event and returns its effects in order.
func (r *Reducer) Reduce(now time.Time, event Event) []Effect {
	r.now = now
	r.effects = nil
	switch e := event.(type) {
	case RequestArrived:
		r.arrive(e)
	case UpstreamsChanged:
		r.changeUpstreams(e.Upstreams)
	case PolicyChanged:
		r.changePolicy(e.Policy)
	case QuarantineChanged:
		r.changeQuarantine(e)
	case ClaimAnswered:
		r.claimAnswered(e)
	case CallerGone:
		r.callerGone(e)
	case Draining:
		r.draining = true
	case DrainEnded:
		r.endAll()
	case Ticked:
		r.tick()
	default:
		r.reduceAttempt(event)
	}
	r.reportDrained()
	return r.effects
}

// Pending returns the number of requests without an answer.
func (r *Reducer) Pending() int {
	return len(r.requests)
}

func (r *Reducer) reduceAttempt(event Event) {
	switch e := event.(type) {
	case AttemptWasAccepted:
		r.attemptAccepted(e)
	case AttemptWasRefused:
		r.attemptRefused(e)
	case AttemptAnswering:
		r.attemptAnswering(e)
	case AttemptProgressed:
		r.attemptProgressed(e)
	case AttemptEnded:
		r.attemptEnded(e)
	case AttemptBroke:
		r.attemptBroke(e)
	}
}

func (r *Reducer) emit(e Effect) {
	r.effects = append(r.effects, e)
}

func (r *Reducer) reportDrained() {
	if !r.draining || r.drained || len(r.requests) > 0 {
		return
	}
	r.drained = true
	r.emit(Drained{})
}

// finish answers the request and removes it. A NotRun that is not provable becomes
// Unknown.
func (r *Reducer) finish(q *request, outcome Outcome, cause Cause, retryAfter time.Duration) {
	if outcome == NotRun {
		provable := !q.mayHaveRun && (q.attempt == nil || !q.attempt.handedOver)
		if !r.check.Check(asserter.NotRunIsTrue, provable, fmt.Sprintf("request %s has an attempt that may run", q.ID)) {
			outcome = Unknown
		}
	}
	r.emit(Answer{Request: q.ID, Outcome: outcome, Cause: cause, RetryAfter: retryAfter, Passed: q.passed})
	r.forget(q)
}

// finishStored answers the request with the outcome that the control plane has
// stored, and removes it.
func (r *Reducer) finishStored(q *request, answer StoredAnswer) {
	r.emit(Answer{Request: q.ID, Outcome: answer.Outcome, Stored: &answer, Passed: q.passed})
	r.forget(q)
}

// giveUp answers a request that has no attempt: NotRun, or Unknown if an earlier
// attempt may have run. If the request still has the token of a claim, the claim is
// settled as NotRun.
func (r *Reducer) giveUp(q *request, cause Cause, retryAfter time.Duration) {
	if q.token != 0 {
		r.settle(q, q.token, NotRun)
	}
	if q.mayHaveRun {
		r.finish(q, Unknown, cause, retryAfter)
		return
	}
	r.finish(q, NotRun, cause, retryAfter)
}

func (r *Reducer) forget(q *request) {
	r.release(q)
	delete(r.requests, q.ID)
}

// release drops the request's attempt and stops counting it on its upstream.
func (r *Reducer) release(q *request) {
	if q.attempt == nil {
		return
	}
	if u := r.upstreams[q.attempt.target.Upstream]; u != nil && q.attempt.counted {
		u.release(q.ID)
	}
	q.attempt = nil
}

func (r *Reducer) settle(q *request, token identifier.FencingToken, outcome Outcome) {
	r.emit(Settle{Settlement: Settlement{
		Organisation: q.Organisation,
		Service:      q.Service,
		Key:          q.Key,
		Token:        token,
		Answer:       StoredAnswer{Outcome: outcome},
	}})
}
