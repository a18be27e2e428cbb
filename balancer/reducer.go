package balancer

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// Config places the entry and holds what the platform bounds.
type Config struct {
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	// RetryRatio and RetryBurst are this entry's share of the retry budget.
	RetryRatio float64
	RetryBurst float64
	// ExpectAfter is how long after a release became wanted older ones are refused.
	ExpectAfter time.Duration
}

const (
	// objectiveMargin is the part of the objective that a forecast may take. The
	// rest is for the way, and for what the forecast doesn't know.
	objectiveMargin = 0.9
	// returnedMargin is the same for a request that came back. Its objective is
	// missed, but one that waits longer takes the time of engines from those that can
	// still be in time, and is often given up by its caller in the middle.
	returnedMargin = 1.0
	// retryAfterLeast and retryAfterMost spread the returns of what is refused.
	retryAfterLeast = 600 * time.Millisecond
	retryAfterMost  = 1800 * time.Millisecond
	// returnShare is the part of the time that it has left, as a divisor, for which a
	// caller waits at most before it comes back.
	returnShare = 3
	// returnLeast is the same for which it waits at least: what is left then tells
	// any entry that it has come back, though callers differ by a sixth of their time.
	returnLeast = 0.17
	// leastRemaining is the least time in which an attempt is worth its while.
	leastRemaining = 30 * time.Millisecond
	// silenceFactor is how many times its forecast a first byte may take before a
	// repeatable request is tried elsewhere; silenceLeast bounds it from below.
	silenceFactor = 4
	silenceLeast  = 1200 * time.Millisecond
	// unmeasured stands for requests without an objective.
	unmeasured = 5 * time.Second
	// defaultUrgency is that of a request without one. What was sent before goes
	// first, since its caller waits already; what has come back goes last, since its
	// objective is missed in any case.
	defaultUrgency  = 5
	againUrgency    = 3
	returnedUrgency = 7
)

// Reducer decides for one entry. It is not safe for concurrent use.
type Reducer struct {
	cfg       Config
	upstreams map[identifier.Upstream]*upstream
	services  map[identifier.Service]ServicePolicy
	requests  map[identifier.RequestID]*request
	budgets   map[identifier.Service]*limiter.RetryBudget
	asides    []Aside
}

// request is one that is not answered yet.
type request struct {
	Request
	attempts int
	tried    map[identifier.Upstream]bool
	current  *upstream
	sentAt   time.Time
	answered bool // the head of the current attempt's answer came
	// mayHaveRun is set once any attempt may have run.
	mayHaveRun bool
}

// New returns a reducer that knows no upstreams.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg:       cfg,
		upstreams: make(map[identifier.Upstream]*upstream),
		services:  make(map[identifier.Service]ServicePolicy),
		requests:  make(map[identifier.RequestID]*request),
		budgets:   make(map[identifier.Service]*limiter.RetryBudget),
	}
}

// Reduce takes in one event and returns what to do next about its request.
func (r *Reducer) Reduce(now time.Time, event Event) Effect {
	switch e := event.(type) {
	case UpstreamsChanged:
		r.changeUpstreams(e.Upstreams)
	case PolicyChanged:
		clear(r.services)
		for _, s := range e.Services {
			r.services[s.Service] = s
		}
	case LoadObserved:
		if u, ok := r.upstreams[e.Upstream]; ok {
			u.observe(now, &e.Load, agentLag)
		}
	case Arrived:
		return r.arrive(now, e.Request)
	case Answering:
		return r.answering(now, e)
	case Ended:
		return r.ended(now, e)
	case Broke:
		return r.broke(now, e)
	case CallerGone:
		r.forget(e.Request)
	}
	return Go{}
}

// InFlight returns how many requests have no answer yet.
func (r *Reducer) InFlight() int {
	return len(r.requests)
}

func (r *Reducer) changeUpstreams(views []UpstreamView) {
	known := make(map[identifier.Upstream]bool, len(views))
	for _, v := range views {
		known[v.Upstream] = true
		u, ok := r.upstreams[v.Upstream]
		if !ok || u.view.Incarnation != v.Incarnation {
			u = newUpstream(v)
			r.upstreams[v.Upstream] = u
		}
		u.view = v
	}
	for name := range r.upstreams {
		if !known[name] {
			delete(r.upstreams, name) // requests there keep their own pointer
		}
	}
}

func (r *Reducer) arrive(now time.Time, q Request) Effect {
	if _, ok := r.services[q.Service]; !ok {
		return Refuse{Request: q.ID, Reason: UnknownService, RetryAfter: r.retryAfter(now, &q)}
	}
	r.budget(q.Service).Sent()
	s := &request{Request: q, tried: make(map[identifier.Upstream]bool)}
	effect := r.place(now, s)
	if _, ok := effect.(Send); ok {
		r.requests[q.ID] = s
	}
	return effect
}

func (r *Reducer) budget(service identifier.Service) *limiter.RetryBudget {
	b, ok := r.budgets[service]
	if !ok {
		b = limiter.NewRetryBudget(r.cfg.RetryRatio, r.cfg.RetryBurst)
		r.budgets[service] = b
	}
	return b
}

// place sends the request to the best upstream, or refuses it.
func (r *Reducer) place(now time.Time, s *request) Effect {
	if s.Deadline.Sub(now) < leastRemaining {
		return r.giveUp(now, s, DeadlineTooNear, 0)
	}
	policy := r.services[s.Service]
	best, forecast := r.choose(now, s, policy)
	if best == nil {
		return r.giveUp(now, s, NoUpstream, 0)
	}
	if s.attempts == 0 && forecast > r.patience(now, s) {
		return r.giveUp(now, s, Overloaded, forecast)
	}
	return r.send(now, s, best, forecast, policy)
}

// patience returns how long the first byte of a request may take by forecast for
// the request to be admitted.
func (r *Reducer) patience(now time.Time, s *request) time.Duration {
	left := s.Deadline.Sub(now)
	objective := s.Objective
	if objective <= 0 {
		objective = unmeasured
	}
	margin := objectiveMargin
	if s.Returned {
		margin = returnedMargin
	}
	return min(left-writeTime(r.services[s.Service].Engine), time.Duration(margin*float64(objective)))
}

// giveUp ends the request. It is refused only where no attempt may have run.
func (r *Reducer) giveUp(now time.Time, s *request, reason Reason, forecast time.Duration) Effect {
	delete(r.requests, s.ID)
	if s.mayHaveRun {
		return Fail{Request: s.ID, Reason: reason}
	}
	wait := r.retryAfter(now, &s.Request)
	if reason == NoUpstream {
		wait = r.latestReturn(now, &s.Request)
	}
	return Refuse{Request: s.ID, Reason: reason, RetryAfter: wait, Forecast: forecast}
}

// retryAfter spreads the returns of refused requests.
func (r *Reducer) retryAfter(now time.Time, q *Request) time.Duration {
	left := q.Deadline.Sub(now)
	least := max(retryAfterLeast, time.Duration(returnLeast*float64(left)))
	span := max(retryAfterMost-least, retryAfterMost-retryAfterLeast)
	wait := least + time.Duration(limiter.Mix(q.Random)%uint64(span))
	return min(wait, max(leastRemaining, left/returnShare))
}

// latestReturn is for requests that nothing can serve now: as late as callers
// come back, less a part that spreads them.
func (r *Reducer) latestReturn(now time.Time, q *Request) time.Duration {
	latest := q.Deadline.Sub(now) / returnShare
	spread := time.Duration(limiter.Mix(q.Random) % uint64(max(1, latest/4)))
	return max(leastRemaining, latest-spread)
}

func (r *Reducer) forget(id identifier.RequestID) {
	s, ok := r.requests[id]
	if !ok {
		return
	}
	r.leave(s)
	delete(r.requests, id)
}
