package router

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	rateHorizon   = 5 * time.Second
	latencyWeight = 0.2
	backlogTime   = time.Second
	waitMargin    = 1.5
	slowFactor    = 10
	// minProgressTimeout is the shortest time after which an attempt is tried
	// elsewhere where the policy sets none.
	minProgressTimeout = 15 * time.Second
)

// service is what the entry knows of one service.
type service struct {
	policy  ServicePolicy
	queue   *limiter.FairQueue[identifier.Organisation, identifier.RequestID]
	budget  *limiter.RetryBudget
	ends    *limiter.Rate
	latency *limiter.Mean
	// duration is the mean time from the start of an attempt to its whole answer.
	duration *limiter.Mean
	// starts is how often each organisation's requests leave the queue to run.
	starts       map[identifier.Organisation]*limiter.Rate
	backlogSince time.Time
	// peak is the largest number of ready upstreams seen.
	peak int
}

func newService() *service {
	return &service{
		queue:    limiter.NewFairQueue[identifier.Organisation, identifier.RequestID](limiter.QueueConfig{MaxItems: defaultMaxQueued}),
		budget:   limiter.NewRetryBudget(defaultRatio, retryBurst),
		ends:     limiter.NewRate(rateHorizon),
		starts:   make(map[identifier.Organisation]*limiter.Rate),
		latency:  limiter.NewMean(latencyWeight),
		duration: limiter.NewMean(latencyWeight),
	}
}

func (s *service) apply(policy ServicePolicy) {
	s.policy = policy
	if policy.MaxQueued > 0 {
		s.queue.SetMaxItems(policy.MaxQueued)
	}
	if policy.RetryRatio > 0 {
		s.budget.SetRatio(policy.RetryRatio)
	}
}

// ended takes in one attempt that ended whole.
func (s *service) ended(now time.Time, took time.Duration) {
	s.ends.Add(now, 1)
	s.duration.Add(took)
}

// progressTimeout returns the time without an answer's first byte after which an
// attempt is tried elsewhere: the one set, or a multiple of what is usual.
func (s *service) progressTimeout() (time.Duration, bool) {
	if s.policy.ProgressTimeout > 0 {
		return s.policy.ProgressTimeout, true
	}
	usual := s.latency.Value()
	return max(minProgressTimeout, slowFactor*usual), usual > 0
}

// served takes in that a request of the organisation left the queue to run.
func (s *service) served(now time.Time, org identifier.Organisation) {
	rate := s.starts[org]
	if rate == nil {
		rate = limiter.NewRate(rateHorizon)
		s.starts[org] = rate
	}
	rate.Add(now, 1)
}

// noteBacklog remembers since when requests wait.
func (s *service) noteBacklog(now time.Time) {
	switch {
	case s.queue.Len() == 0:
		s.backlogSince = time.Time{}
	case s.backlogSince.IsZero():
		s.backlogSince = now
	}
}

// backlogged reports whether requests waited long enough for the rates seen to
// be those that the service gives.
func (s *service) backlogged(now time.Time) bool {
	return !s.backlogSince.IsZero() && now.Sub(s.backlogSince) >= backlogTime
}

// wait returns the time until n requests of the service's queue are started, or
// zero while too little is known. Without a backlog the rate is what the
// upstreams' limits allow.
func (r *Reducer) wait(s *service, n int) time.Duration {
	if n == 0 || s.duration.Value() == 0 {
		return 0
	}
	rate := s.ends.At(r.now)
	if !s.backlogged(r.now) {
		rate = max(rate, r.limitRate(s))
	}
	return timeOf(n, rate)
}

func (r *Reducer) limitRate(s *service) float64 {
	limit := 0
	for _, u := range r.usableOf(s) {
		limit += u.limit()
	}
	return float64(limit) / s.duration.Value().Seconds()
}

func timeOf(n int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(n)/rate, time.Hour.Seconds()) * float64(time.Second))
}

// waitOf returns the time until a new request of the organisation starts: what
// is ahead of it at the service's rate, and what its organisation has queued at
// the rate that the organisation is served, or owed if that is more.
func (r *Reducer) waitOf(s *service, org identifier.Organisation) time.Duration {
	wait := r.wait(s, s.queue.Ahead(org))
	rate := s.starts[org]
	if rate == nil || !s.backlogged(r.now) {
		return wait
	}
	owed := s.ends.At(r.now) * s.queue.Share(org, r.weightOf(org))
	return max(wait, timeOf(s.queue.Queued(org), max(owed, rate.At(r.now))))
}

// canMeet reports whether a new request of the organisation is likely to end
// before its deadline. While others of the organisation wait, it must be more
// than likely: one that expires in the queue is refused late.
func (r *Reducer) canMeet(s *service, org identifier.Organisation, deadline time.Time) bool {
	wait, run := r.waitOf(s, org), s.duration.Low()
	if s.backlogged(r.now) && s.queue.Queued(org) > 0 {
		wait = time.Duration(waitMargin * float64(wait))
		run = s.duration.Value()
	}
	return r.now.Add(wait + run).Before(deadline)
}

// retryAfter returns when the present queue is likely to be served.
func (r *Reducer) retryAfter(s *service) time.Duration {
	return min(max(r.wait(s, s.queue.Len()), minRetryAfter), maxRetryAfter)
}

func (r *Reducer) changePolicy(policy Policy) {
	kept := make(map[identifier.Service]bool, len(policy.Services))
	for _, p := range policy.Services {
		kept[p.Service] = true
		s := r.services[p.Service]
		if s == nil {
			s = newService()
			r.services[p.Service] = s
		}
		s.apply(p)
	}
	clear(r.organisations)
	for _, o := range policy.Organisations {
		r.organisations[o.Organisation] = o
	}
	for name, s := range r.services {
		if !kept[name] {
			r.removeService(name, s)
		}
	}
	r.dispatchAll()
}

func (r *Reducer) removeService(name identifier.Service, s *service) {
	for _, id := range s.queue.RemoveWhere(func(identifier.RequestID) bool { return true }) {
		if q := r.requests[id]; q != nil {
			r.giveUp(q, UnknownService, 0)
		}
	}
	delete(r.services, name)
}
