package balancer

import (
	"slices"
	"time"

	"celeryvalve/limiter"
)

const (
	// typicalReportAge is the age of load reports when they are used: 0.15 to 0.3 s
	// in the logs of a deployment of 64 instances.
	typicalReportAge = 250 * time.Millisecond
	// minSampleSize is how many upstreams are sampled at least in the entry's own
	// region, and as many again in the other regions. The better of two random
	// upstreams is nearly as good as the best of all while reports are fresh, and a
	// better choice once they are old.
	minSampleSize = 2
)

// sampleCandidates returns a random sample of the eligible upstreams, from which
// one is chosen for the request. All entries see the same reports, and each would
// send to the few upstreams that look best until the next reports arrive. So the
// more requests come between two reports, the smaller the sample. Upstreams that
// this entry attends, and those within their limit, are always in it: these are this entry's
// own, or its share of their limit is.
func (r *Reducer) sampleCandidates(now time.Time, s *request, policy ServicePolicy) []*upstream {
	var local, remote, certain []*upstream
	arrivals := 0.0
	for _, u := range r.byService[s.Service] {
		if !r.eligible(now, s, u, policy) {
			continue
		}
		if u.cold.bound {
			r.updateCold(now, u)
		}
		if u.limited() {
			if u.withinLimit(now) {
				u.forgetOldEstimate(now)
				certain = append(certain, u)
			}
			continue
		}
		if r.attends(u) {
			certain = append(certain, u)
			continue
		}
		arrivals += completionRate(u, policy) * typicalReportAge.Seconds()
		if u.view.Region == r.cfg.Region {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	n := len(local) + len(remote)
	size := n
	if arrivals > 0 {
		size = max(minSampleSize, int(minSampleSize*float64(n)/arrivals))
	}
	random := limiter.SplitMix64(s.Random + uint64(s.attempts))
	sample := slices.Concat(certain, randomSubset(local, size, random), randomSubset(remote, size, random))
	return r.addHolders(s, policy, sample, local[min(size, len(local)):], remote[min(size, len(remote)):])
}

// completionRate returns how many requests per second the upstream completes, or 0
// while that is not known.
func completionRate(u *upstream, policy ServicePolicy) float64 {
	duration := u.firstByte.Value()
	if policy.Engine != nil {
		duration = serviceTime(policy.Engine, u.slots())
	}
	if duration <= 0 {
		return 0
	}
	return float64(max(u.inFlight, u.reported.Running)) / duration.Seconds()
}

// randomSubset returns n random elements of the list, or all if it has fewer. It
// changes the list's order.
func randomSubset(list []*upstream, n int, random uint64) []*upstream {
	for i := range min(n, len(list)) {
		random = limiter.SplitMix64(random)
		j := i + int(random%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
