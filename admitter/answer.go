package admitter

import (
	"fmt"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// refuse ends an attempt that has not started and informs its streams.
func (r *Reducer) refuse(a *attempt, reason router.RefuseReason, retryAfter time.Duration) {
	if a == nil {
		return
	}
	if !r.check.Check(asserter.NotRunIsTrue, a.state == queuedState, fmt.Sprintf("attempt %s is refused although it has started", a.id)) {
		return
	}
	a.setState(refusedState, r.now)
	if r.isolated == a {
		r.isolated = nil
	}
	for _, s := range a.streams {
		r.sendRefused(s, a.request, a.id, reason, retryAfter)
	}
	a.streams = nil
	a.start = router.AttemptStart{}
	r.emit(Forget{Attempt: a.id})
}

// refuseUnknown records an attempt that has not arrived as refused, so that it is
// refused if it arrives later.
func (r *Reducer) refuseUnknown(stream StreamID, request identifier.RequestID, id identifier.AttemptID, reason router.RefuseReason) {
	if len(r.attempts) >= maxTrackedAttempts {
		r.sendGone(stream, request, id, router.Forgotten)
		return
	}
	a := &attempt{id: id, request: request}
	a.setState(refusedState, r.now)
	r.attempts[id] = a
	r.sendRefused(stream, request, id, reason, 0)
}

func (a *attempt) goneReason() router.GoneReason {
	switch {
	case a.crashed:
		return router.UpstreamCrashed
	case a.endKind == TimedOut:
		return router.TimedOut
	case a.endKind == Stopped:
		return router.Stopped
	}
	return router.UpstreamBroke
}

func (r *Reducer) sendGoneToAll(a *attempt) {
	for _, s := range a.streams {
		r.sendGone(s, a.request, a.id, a.goneReason())
	}
	a.streams = nil
	r.emit(Forget{Attempt: a.id})
}

func (r *Reducer) sendRefused(stream StreamID, request identifier.RequestID, id identifier.AttemptID, reason router.RefuseReason, retryAfter time.Duration) {
	r.emit(Refuse{Stream: stream, Message: router.AttemptRefused{
		Request:    request,
		Attempt:    id,
		Reason:     reason,
		RetryAfter: retryAfter,
		Load:       r.Load(),
	}})
}

func (r *Reducer) sendGone(stream StreamID, request identifier.RequestID, id identifier.AttemptID, reason router.GoneReason) {
	r.emit(Gone{Stream: stream, Message: router.AttemptGone{Request: request, Attempt: id, Reason: reason, Load: r.Load()}})
}
