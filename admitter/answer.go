package admitter

import (
	"fmt"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// refuse ends an attempt that has not started and tells its streams.
func (r *Reducer) refuse(a *attempt, reason router.RefuseReason, retryAfter time.Duration) {
	if a == nil {
		return
	}
	if !r.check.Check(asserter.NotRunIsTrue, a.state == queuedState, fmt.Sprintf("attempt %s is refused after it started", a.id)) {
		return
	}
	a.set(refusedState, r.now)
	if r.alone == a {
		r.alone = nil
	}
	for _, s := range a.streams {
		r.tellRefused(s, a.request, a.id, reason, retryAfter)
	}
	a.streams = nil
	a.start = router.AttemptStart{}
	r.emit(Forget{Attempt: a.id})
}

// refuseUnseen refuses an attempt from now on that has not come yet.
func (r *Reducer) refuseUnseen(stream StreamID, request identifier.RequestID, id identifier.AttemptID, reason router.RefuseReason) {
	if len(r.attempts) >= maxRemembered {
		r.tellGone(stream, request, id, router.Forgotten)
		return
	}
	a := &attempt{id: id, request: request}
	a.set(refusedState, r.now)
	r.attempts[id] = a
	r.tellRefused(stream, request, id, reason, 0)
}

func (a *attempt) goneReason() router.GoneReason {
	switch {
	case a.crashed:
		return router.UpstreamCrashed
	case a.end == TimedOut:
		return router.TimedOut
	case a.end == Stopped:
		return router.Stopped
	}
	return router.UpstreamBroke
}

func (r *Reducer) tellAllGone(a *attempt) {
	for _, s := range a.streams {
		r.tellGone(s, a.request, a.id, a.goneReason())
	}
	a.streams = nil
	r.emit(Forget{Attempt: a.id})
}

func (r *Reducer) tellRefused(stream StreamID, request identifier.RequestID, id identifier.AttemptID, reason router.RefuseReason, retryAfter time.Duration) {
	r.emit(Refuse{Stream: stream, Message: router.AttemptRefused{
		Request:    request,
		Attempt:    id,
		Reason:     reason,
		RetryAfter: retryAfter,
		Load:       r.Load(),
	}})
}

func (r *Reducer) tellGone(stream StreamID, request identifier.RequestID, id identifier.AttemptID, reason router.GoneReason) {
	r.emit(Gone{Stream: stream, Message: router.AttemptGone{Request: request, Attempt: id, Reason: reason, Load: r.Load()}})
}
