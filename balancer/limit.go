package balancer

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// LimitChange reports that the known limit of an upstream has changed.
type LimitChange struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Limit       limiter.RequestLimit
	// Request is the request whose answer said so.
	Request identifier.RequestID
}

// TakeLimitChanges returns the changes of limits since the last call.
func (r *Reducer) TakeLimitChanges() []LimitChange {
	changes := r.limitChanges
	r.limitChanges = nil
	return changes
}

// observeLimit takes in what an answer of an upstream says of its limit.
func (r *Reducer) observeLimit(now time.Time, e LimitStated) {
	u, ok := r.upstreams[e.Upstream]
	if !ok || u.view.Incarnation != e.Incarnation {
		return
	}
	limit := u.limit.Observe(now, e.Limit, e.UnderStamp)
	if limit == u.limit {
		return
	}
	u.limit = limit
	r.limitChanges = append(r.limitChanges, LimitChange{Upstream: e.Upstream, Incarnation: e.Incarnation, Limit: limit, Request: e.Request})
}
