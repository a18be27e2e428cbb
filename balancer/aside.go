package balancer

import (
	"time"

	"celeryvalve/identifier"
)

// EjectionChange reports that an upstream was ejected, or that it serves again.
type EjectionChange struct {
	Upstream identifier.Upstream
	// Until is when the upstream is tried again, or zero if it serves again.
	Until time.Time
	// Cause is how its last attempt failed, and Failures the number of consecutive
	// failures.
	Cause    Cause
	Failures int
}

// TakeEjectionChanges returns the ejections and recoveries of upstreams since the last call.
func (r *Reducer) TakeEjectionChanges() []EjectionChange {
	changes := r.ejectionChanges
	r.ejectionChanges = nil
	return changes
}

// recordFailure counts a failure of the upstream and reports the ejection if it
// causes one.
func (r *Reducer) recordFailure(now time.Time, u *upstream, cause Cause) {
	u.failed.add(now, true)
	before := u.ejectedUntil
	u.countFailure(now, cause == NotConnected || cause == Misdirected)
	if u.ejectedUntil.Equal(before) {
		return
	}
	if cause == NotConnected || cause == ConnectionLost || cause == FirstByteTimedOut {
		r.suspectCold(now, u)
	}
	r.ejectionChanges = append(r.ejectionChanges, EjectionChange{Upstream: u.view.Upstream, Until: u.ejectedUntil, Cause: cause, Failures: u.failures})
}

// recordSuccess resets the failures of the upstream and reports its recovery if it
// was ejected.
func (r *Reducer) recordSuccess(now time.Time, u *upstream) {
	u.failed.add(now, false)
	wasEjected := u.ejectionTime > 0
	if wasEjected {
		r.ejectionChanges = append(r.ejectionChanges, EjectionChange{Upstream: u.view.Upstream})
	}
	u.resetFailures()
	if !u.cold.suspectedUntil.IsZero() && wasEjected {
		r.suspectCold(now, u)
	}
}
