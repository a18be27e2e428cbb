package balancer

import (
	"time"

	"celeryvalve/declarer"
)

// minRelease returns the oldest release that may still begin a request. Each release rules
// out all earlier ones once ReleaseGracePeriod has passed since it was named, in one stretch
// in which control worked: without control a release may not reach the engines, and requests
// would be refused that older weights could serve. What was ruled out stays so.
func (r *Reducer) minRelease(now time.Time, policy ServicePolicy) declarer.ReleaseNumber {
	oldest := max(declarer.FirstRelease, r.oldestReleases[policy.Service])
	at := now
	if !r.control.Reached {
		at = r.control.LastReached
	}
	for _, n := range policy.Releases {
		from := n.At
		if r.control.SteadySince.After(from) {
			from = r.control.SteadySince
		}
		if at.Sub(from) >= r.cfg.ReleaseGracePeriod {
			oldest = max(oldest, n.Number)
		}
	}
	if oldest > declarer.FirstRelease {
		r.oldestReleases[policy.Service] = oldest
	}
	return oldest
}

// observeControl takes in whether control works. Releases whose time has passed while it did
// are noted before.
func (r *Reducer) observeControl(now time.Time, e ControlObserved) {
	if !e.Reached {
		now = e.LastReached
	}
	for _, policy := range r.services {
		r.minRelease(now, policy)
	}
	r.control = e
}
