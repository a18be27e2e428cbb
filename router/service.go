package router

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	rateDecayTime         = 5 * time.Second
	latencyWeight         = 0.2
	minBacklogTime        = time.Second
	waitMargin            = 1.5
	progressTimeoutFactor = 10
	// minProgressTimeout is the lower bound of the progress timeout where the
	// policy sets none.
	minProgressTimeout = 15 * time.Second
)

// service holds the policy, the queue and the statistics of one service.
type service struct {
	policy  ServicePolicy
	queue   *limiter.FairQueue[identifier.Organisation, identifier.RequestID]
	budget  *limiter.RetryBudget
	ends    *limiter.Rate
	latency *limiter.Mean
	// duration is the mean time from the start of an attempt to the end of its
	// response.
	duration *limiter.Mean
	// starts is the rate at which each organisation's requests leave the queue to
	// run.
	starts       map[identifier.Organisation]*limiter.Rate
	backlogSince time.Time
	// peak is the largest number of usable upstreams seen.
	peak int
}

func newService() *service {
	return &service{
		queue:    limiter.NewFairQueue[identifier.Organisation, identifier.RequestID](limiter.QueueConfig{MaxItems: defaultMaxQueued}),
		budget:   limiter.NewRetryBudget(defaultRetryRatio, retryBurst),
		ends:     limiter.NewRate(rateDecayTime),
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

// recordEnd records an attempt with a complete response and how long it took.
func (s *service) recordEnd(now time.Time, elapsed time.Duration) {
	s.ends.Add(now, 1)
	s.duration.Add(elapsed)
}

// progressTimeout returns the time without a response's first byte after which an
// attempt is tried elsewhere: the policy's, or a multiple of the mean time to the
// first byte. It reports false if the policy sets none and the mean is not known
// yet.
func (s *service) progressTimeout() (time.Duration, bool) {
	if s.policy.ProgressTimeout > 0 {
		return s.policy.ProgressTimeout, true
	}
	meanLatency := s.latency.Value()
	return max(minProgressTimeout, progressTimeoutFactor*meanLatency), meanLatency > 0
}

// recordStart records that a request of the organisation left the queue to run.
func (s *service) recordStart(now time.Time, org identifier.Organisation) {
	rate := s.starts[org]
	if rate == nil {
		rate = limiter.NewRate(rateDecayTime)
		s.starts[org] = rate
	}
	rate.Add(now, 1)
}

// updateBacklog tracks since when requests have been waiting.
func (s *service) updateBacklog(now time.Time) {
	switch {
	case s.queue.Len() == 0:
		s.backlogSince = time.Time{}
	case s.backlogSince.IsZero():
		s.backlogSince = now
	}
}

// backlogged reports whether requests have been waiting long enough for the
// observed rates to show the capacity of the service.
func (s *service) backlogged(now time.Time) bool {
	return !s.backlogSince.IsZero() && now.Sub(s.backlogSince) >= minBacklogTime
}

// queueWait returns the expected time until n queued requests of the service have
// started, or zero while too little is known. Without a backlog the rate is at
// least what the upstreams' limits allow.
func (r *Reducer) queueWait(s *service, n int) time.Duration {
	if n == 0 || s.duration.Value() == 0 {
		return 0
	}
	rate := s.ends.At(r.now)
	if !s.backlogged(r.now) {
		rate = max(rate, r.capacityRate(s))
	}
	return durationAtRate(n, rate)
}

func (r *Reducer) capacityRate(s *service) float64 {
	limit := 0
	for _, u := range r.usableOf(s) {
		limit += u.limit()
	}
	return float64(limit) / s.duration.Value().Seconds()
}

func durationAtRate(n int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(n)/rate, time.Hour.Seconds()) * float64(time.Second))
}

// organisationWait returns the expected time until a new request of the
// organisation starts. It is the longer of two waits: for the requests ahead of it
// at the service's rate, and for the requests that its organisation has queued at
// the rate at which the organisation is served, or at its fair share if that is
// higher.
func (r *Reducer) organisationWait(s *service, org identifier.Organisation) time.Duration {
	wait := r.queueWait(s, s.queue.Ahead(org))
	rate := s.starts[org]
	if rate == nil || !s.backlogged(r.now) {
		return wait
	}
	fairRate := s.ends.At(r.now) * s.queue.Share(org, r.weightOf(org))
	return max(wait, durationAtRate(s.queue.Queued(org), max(fairRate, rate.At(r.now))))
}

// canMeet reports whether a new request of the organisation is likely to end before
// its deadline. While there is a backlog and others of the organisation wait, a
// margin is added to the estimate, since a request that expires in the queue is
// refused late.
func (r *Reducer) canMeet(s *service, org identifier.Organisation, deadline time.Time) bool {
	wait, run := r.organisationWait(s, org), s.duration.Low()
	if s.backlogged(r.now) && s.queue.Queued(org) > 0 {
		wait = time.Duration(waitMargin * float64(wait))
		run = s.duration.Value()
	}
	return r.now.Add(wait + run).Before(deadline)
}

// retryAfter returns the expected time until the present queue is served, bounded
// by minRetryAfter and maxRetryAfter.
func (r *Reducer) retryAfter(s *service) time.Duration {
	return min(max(r.queueWait(s, s.queue.Len()), minRetryAfter), maxRetryAfter)
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
