package router

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	rateHorizon   = 5 * time.Second
	latencyWeight = 0.2
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
	// peak is the largest number of ready upstreams seen.
	peak int
}

func newService() *service {
	return &service{
		queue:    limiter.NewFairQueue[identifier.Organisation, identifier.RequestID](limiter.QueueConfig{MaxItems: defaultMaxQueued}),
		budget:   limiter.NewRetryBudget(defaultRatio, retryBurst),
		ends:     limiter.NewRate(rateHorizon),
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

// wait returns the time until n requests of the service's queue are started, or
// zero while too little is known. The rate is the larger of the one seen and the
// one that the upstreams' limits allow.
func (r *Reducer) wait(s *service, n int) time.Duration {
	if n == 0 || s.duration.Value() == 0 {
		return 0
	}
	limit := 0
	for _, u := range r.usableOf(s) {
		limit += u.limit()
	}
	rate := max(s.ends.At(r.now), float64(limit)/s.duration.Value().Seconds())
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(n)/rate, time.Hour.Seconds()) * float64(time.Second))
}

// canMeet reports whether a new request of the organisation is likely to start
// before its deadline.
func (r *Reducer) canMeet(s *service, org identifier.Organisation, deadline time.Time) bool {
	return r.now.Add(r.wait(s, s.queue.Ahead(org))).Before(deadline)
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
