package balancer

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/limiter"
)

const (
	// viewAge is how old reports of load are when they are used: 0.15 to 0.3 s in the
	// logs of a deployment of 64 instances.
	viewAge = 250 * time.Millisecond
	// leastDraws of the own region, and as many of the others, are looked at. The
	// better of two random ones is nearly as good as the best of all while reports
	// are fresh, and better once they are old.
	leastDraws = 2
)

// draw returns the upstreams among which the request is placed. All entries see the
// same reports, and each would send to the few upstreams that look best until the next
// ones come; so the more requests come between two reports, the fewer are looked at.
func (r *Reducer) draw(now time.Time, s *request, policy ServicePolicy) []*upstream {
	var near, far []*upstream
	arrivals := 0.0
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[name]
		if !r.fits(now, s, u, policy) {
			continue
		}
		arrivals += rateOf(u, policy) * viewAge.Seconds()
		if u.view.Region == r.cfg.Region {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	n := len(near) + len(far)
	draws := n
	if arrivals > 0 {
		draws = max(leastDraws, int(leastDraws*float64(n)/arrivals))
	}
	random := limiter.Mix(s.Random + uint64(s.attempts))
	return append(sample(near, draws, random), sample(far, draws, random)...)
}

// rateOf returns how many requests a second the upstream ends, as far as known.
func rateOf(u *upstream, policy ServicePolicy) float64 {
	work := u.firstByte.Value()
	if policy.Engine != nil {
		work = serviceTime(policy.Engine, u.slots())
	}
	if work <= 0 {
		return 0
	}
	return float64(max(u.inFlight, u.reported.Running)) / work.Seconds()
}

// sample returns n of the list at random, or all of it. It changes the list's order.
func sample(list []*upstream, n int, random uint64) []*upstream {
	for i := range min(n, len(list)) {
		random = limiter.Mix(random)
		j := i + int(random%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
