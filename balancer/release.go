package balancer

import (
	"time"

	"celeryvalve/declarer"
)

// beginCheckInterval is the longest time after which an attempt that has not begun is looked at
// again. A release may be named meanwhile, and the time of one may count from an earlier moment than
// was known. It is below the margin that placer leaves before the end of that time.
const beginCheckInterval = 250 * time.Millisecond

// minRelease returns the oldest release that may still begin a request. Each release rules
// out all earlier ones once ReleaseGracePeriod has passed since it was named, in one stretch
// in which control worked: without control a release may not reach the engines, and requests
// would be refused that older weights could serve. What was ruled out stays so.
func (r *Reducer) minRelease(now time.Time, policy ServicePolicy) declarer.ReleaseNumber {
	oldest := max(declarer.FirstRelease, r.oldestReleases[policy.Service])
	at := r.releaseTime(now)
	for _, n := range policy.Releases {
		if at.Sub(r.countsFrom(n)) >= r.cfg.ReleaseGracePeriod {
			oldest = max(oldest, n.Number)
		}
	}
	if oldest > declarer.FirstRelease {
		r.oldestReleases[policy.Service] = oldest
	}
	return oldest
}

// releaseTime returns the moment up to which the times of releases have passed. They stand still
// while control is out of reach.
func (r *Reducer) releaseTime(now time.Time) time.Time {
	if !r.control.Reached {
		return r.control.LastReached
	}
	return now
}

// countsFrom returns when the time of the release began.
func (r *Reducer) countsFrom(n declarer.WantedRelease) time.Time {
	return later(n.At, r.control.SteadySince)
}

// beginBy returns when requests must have begun on the release, as far as known, or zero if no
// newer one is named.
func (r *Reducer) beginBy(policy ServicePolicy, release declarer.ReleaseNumber) time.Time {
	var first time.Time
	for _, n := range policy.Releases {
		if n.Number <= release {
			continue
		}
		if by := r.countsFrom(n).Add(r.cfg.ReleaseBeginPeriod); first.IsZero() || by.Before(first) {
			first = by
		}
	}
	return first
}

// nextBeginCheck returns when an attempt on the release must have begun, or is to be looked at
// again. It is zero if requests may begin on any release.
func (r *Reducer) nextBeginCheck(now time.Time, s *request, policy ServicePolicy, release declarer.ReleaseNumber) time.Time {
	if r.cfg.ReleaseBeginPeriod == 0 || !s.Generates || policy.Engine == nil {
		return time.Time{}
	}
	check := now.Add(beginCheckInterval)
	if by := r.beginBy(policy, release); by.After(now) && by.Before(check) {
		return by
	}
	return check
}

// mustHaveBegun reports whether the time to begin requests on the release is over.
func (r *Reducer) mustHaveBegun(now time.Time, policy ServicePolicy, release declarer.ReleaseNumber) bool {
	by := r.beginBy(policy, release)
	return !by.IsZero() && !r.releaseTime(now).Before(by)
}

// heldRelease returns the newest release that the upstream is known to have held since it was chosen.
// While it loads another one, it holds none.
func (a *attempt) heldRelease() declarer.ReleaseNumber {
	return max(a.release, a.target.view.Release)
}

// isRuledOut reports whether the attempt's upstream holds a release that may begin no request.
func (r *Reducer) isRuledOut(now time.Time, a *attempt) bool {
	policy := r.services[a.Service]
	return a.Generates && policy.Engine != nil && a.heldRelease() < r.minRelease(now, policy)
}

// overdue withdraws an attempt that has not begun in the time for its release. It may run all the
// same if its upstream has just begun it.
func (r *Reducer) overdue(now time.Time, e AttemptUnbegun) Effect {
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok {
		return NoEffect{}
	}
	s, policy, release := a.request, r.services[a.Service], a.heldRelease()
	if !r.mustHaveBegun(now, policy, release) {
		return Postpone{Request: s.ID, BeginBy: r.nextBeginCheck(now, s, policy, release)}
	}
	if !a.sent {
		return r.withhold(now, a)
	}
	s.mayHaveRun = true
	r.abandon(now, a)
	mayRetry := s.Repeatable
	if e.PartlySent {
		mayRetry = e.Resumable
	}
	switch {
	case s.hasResponsiveAttempt():
		return Await{Request: s.ID}
	case !mayRetry:
		return r.giveUpUnlessInProgress(now, s, MayHaveRun, 0)
	}
	effect, reason := r.retry(now, s)
	if reason == "" {
		return effect
	}
	return r.giveUpUnlessInProgress(now, s, reason, 0)
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
