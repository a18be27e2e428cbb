package admitter

import (
	"time"

	"celeryvalve/limiter"
)

// observeRequestLimit takes in what the response to the attempt says of the requests per
// second that the upstream accepts. All attempts for the upstream pass through this agent,
// so that the limit holds for the sum over all entries.
func (r *Reducer) observeRequestLimit(a *attempt, stated limiter.StatedLimit) {
	limit := r.requestLimit.Observe(r.now, stated, a.limitStamp)
	if limit == r.requestLimit {
		return
	}
	r.requestLimit = limit
	switch {
	case !limit.InForce:
		r.pacer = nil
	case r.pacer == nil:
		r.pacer = limiter.NewPacer(limit.Pace(), r.now)
	default:
		r.pacer.SetRate(limit.Pace())
	}
	r.emit(RequestLimitChanged{Limit: limit, Request: a.request})
}

// forgetRequestLimit drops the limit of an upstream that has ended: the next incarnation
// begins without.
func (r *Reducer) forgetRequestLimit() {
	r.requestLimit = limiter.RequestLimit{}
	r.pacer = nil
}

func (r *Reducer) withinRequestLimit() bool {
	return r.pacer == nil || r.pacer.Ready(r.now)
}

// recordStart counts an attempt that starts against the limit.
func (r *Reducer) recordStart(a *attempt) {
	if r.pacer == nil {
		return
	}
	a.limitStamp = r.requestLimit.Stamp
	r.pacer.Record(r.now)
}

// startInterval returns the mean time between two starts while the upstream is fully used.
func (r *Reducer) startInterval() time.Duration {
	interval := r.duration.Value() / time.Duration(r.limit.Limit())
	if r.pacer != nil {
		interval = max(interval, time.Duration(float64(time.Second)/r.requestLimit.Pace()))
	}
	return interval
}
