package balancer

import (
	"time"

	"celeryvalve/identifier"
)

// Aside tells that an upstream was set aside, or that it serves again.
type Aside struct {
	Upstream identifier.Upstream
	// Until is when it is tried again, or zero where it serves again.
	Until time.Time
	// Cause is how its last attempt failed, and Failures how many did in a row.
	Cause    Cause
	Failures int
}

// Asides returns, each once, which upstreams were set aside or serve again.
func (r *Reducer) Asides() []Aside {
	asides := r.asides
	r.asides = nil
	return asides
}

// blame counts a failure of the upstream.
func (r *Reducer) blame(now time.Time, u *upstream, cause Cause) {
	before := u.asideUntil
	u.failed(now, cause == NotConnected || cause == Mistaken)
	if u.asideUntil.Equal(before) {
		return
	}
	r.asides = append(r.asides, Aside{Upstream: u.view.Upstream, Until: u.asideUntil, Cause: cause, Failures: u.failures})
}

// trust takes back what failures of the upstream did.
func (r *Reducer) trust(u *upstream) {
	if u.asideFor > 0 {
		r.asides = append(r.asides, Aside{Upstream: u.view.Upstream})
	}
	u.succeeded()
}
