package balancer

import (
	"time"

	"celeryvalve/limiter"
)

// costJitter bounds the random time that is added to each forecast. Upstreams whose
// forecasts differ by less count as about equal, so that entries with the same view
// don't all choose the same one.
const costJitter = 15 * time.Millisecond

// limitedPreference is subtracted for an upstream within its limit that would be in time,
// so that this entry's share, which is no other's, is used and the end of the limit is
// noticed. It exceeds the differences between forecasts that are in time, and counts less
// than two failures in a row and a region.
const limitedPreference = 250 * time.Millisecond

// choose returns the cheapest upstream for the request among the sampled
// candidates, or nil if there is none, and its forecast without penalties and
// jitter.
func (r *Reducer) choose(now time.Time, s *request, policy ServicePolicy) (*upstream, time.Duration) {
	r.assignAttendants()
	var best *upstream
	var bestCost, bestForecast time.Duration
	random := s.Random + uint64(s.attempts)
	othersRatio := r.othersRatio(s.Service)
	failed := r.failedShares(now, s.Service)
	for _, u := range r.sampleCandidates(now, s, policy) {
		forecast := r.forecast(now, u, &s.Request, policy.Engine, u.othersRatio(othersRatio))
		random = limiter.SplitMix64(random)
		cost := forecast + r.penalty(now, u, forecast, failed) + time.Duration(random%uint64(costJitter))
		if u.limit.InForce && forecast <= r.maxForecast(now, s) {
			cost -= limitedPreference
		}
		if u == s.preferred {
			cost -= costJitter
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestForecast = u, cost, forecast
		}
	}
	return best, bestForecast
}

// eligible reports whether the request may be sent to the upstream, apart from the limit
// that the upstream may have named.
func (r *Reducer) eligible(now time.Time, s *request, u *upstream, policy ServicePolicy) bool {
	if u.view.Service != s.Service || !s.mayBeServedAt(u) || u.draining() || u.resting(now) || !u.usable(now) || r.evacuates(now, u) {
		return false
	}
	if s.tried[u.view.Upstream] && s.attempts > 0 {
		return false
	}
	if !s.Generates || policy.Engine == nil {
		return true
	}
	return u.view.Release >= r.minRelease(now, policy)
}

// penalty returns what is added to the forecast of the upstream to compare it with others.
func (r *Reducer) penalty(now time.Time, u *upstream, forecast time.Duration, failed failedSum) time.Duration {
	slower := time.Duration((u.speed.factor(now) - 1) * float64(forecast))
	return slower + r.localityPenalty(u) + healthPenalty(u) + u.greyPenalty(now, failed) + u.recoveryPenalty(now) + r.returnPenalty(now, u)
}

// localityPenalty returns what is added for an upstream that isn't near, or that another entry
// attends.
func (r *Reducer) localityPenalty(u *upstream) time.Duration {
	switch {
	case u.attendant != "" && !r.attends(u) && !u.limited():
		return unattendedPenalty
	case u.view.Region != r.cfg.Region:
		return otherRegionPenalty
	case u.view.AvailabilityZone != r.cfg.AvailabilityZone:
		return otherZonePenalty
	default:
		return 0
	}
}

// stalePenalty ranks upstreams that have not been heard from for long behind all
// others.
const stalePenalty = 10 * time.Second

func healthPenalty(u *upstream) time.Duration {
	if u.view.Stale {
		return stalePenalty
	}
	return 0
}
