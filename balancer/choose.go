package balancer

import (
	"time"

	"celeryvalve/limiter"
)

// spreadWithin is the difference of forecasts below which upstreams count as
// equal, so that entries with the same view don't all choose one.
const spreadWithin = 15 * time.Millisecond

// choose returns the upstream with the best forecast for the request among some that
// are drawn, and the forecast without what distance adds.
func (r *Reducer) choose(now time.Time, s *request, policy ServicePolicy) (*upstream, time.Duration) {
	var best *upstream
	var bestCost, bestForecast time.Duration
	random := s.Random + uint64(s.attempts)
	others := r.others(s.Service)
	for _, u := range r.draw(now, s, policy) {
		forecast := r.forecast(now, u, &s.Request, policy.Engine, others)
		random = limiter.Mix(random)
		cost := forecast + r.distance(u) + time.Duration(random%uint64(spreadWithin)) + distrust(u)
		if best == nil || cost < bestCost {
			best, bestCost, bestForecast = u, cost, forecast
		}
	}
	return best, bestForecast
}

// fits reports whether the request may be sent to the upstream at all.
func (r *Reducer) fits(now time.Time, s *request, u *upstream, policy ServicePolicy) bool {
	if u.view.Service != s.Service || u.view.Draining || !u.usable(now) {
		return false
	}
	if s.tried[u.view.Upstream] && s.attempts > 0 {
		return false
	}
	if !s.Generates || policy.Engine == nil {
		return true
	}
	return u.view.Release >= r.floor(now, policy)
}

func (r *Reducer) distance(u *upstream) time.Duration {
	switch {
	case u.view.Region != r.cfg.Region:
		return otherRegion
	case u.view.AvailabilityZone != r.cfg.AvailabilityZone:
		return otherZone
	default:
		return 0
	}
}

// staleCost puts upstreams that were not heard for long behind all others.
const staleCost = 10 * time.Second

// failureCost is added for each failure in a row of an upstream that is not set
// aside yet.
const failureCost = 100 * time.Millisecond

func distrust(u *upstream) time.Duration {
	cost := time.Duration(u.failures) * failureCost
	if u.view.Stale {
		cost += staleCost
	}
	return cost
}
