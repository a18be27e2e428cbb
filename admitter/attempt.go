package admitter

import (
	"fmt"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/router"
)

type state int

const (
	refusedState state = iota
	queuedState
	runningState
	endedState
	// forgottenState: the attempt ended and its answer is no longer kept.
	forgottenState
)

type claimKey struct {
	organisation identifier.Organisation
	service      identifier.Service
	key          identifier.IdempotencyKey
}

// attempt is what the agent knows of one attempt.
type attempt struct {
	id       identifier.AttemptID
	request  identifier.RequestID
	state    state
	start    router.AttemptStart
	streams  []StreamID
	deadline time.Time
	// changed is when the attempt got its state, orphaned when its last stream ended.
	changed  time.Time
	orphaned time.Time
	end      EndKind
	crashed  bool
	stopping bool
}

func (a *attempt) set(s state, now time.Time) {
	a.state = s
	a.changed = now
}

func (a *attempt) isAlone() bool {
	return a.start.Alone
}

func (a *attempt) nonIdempotent() bool {
	return a.start.Class == router.NonIdempotent
}

func keyOf(s router.AttemptStart) claimKey {
	return claimKey{organisation: s.Organisation, service: s.Service, key: s.Key}
}

func (r *Reducer) arrive(e AttemptArrived) {
	s := e.Start
	if s.Incarnation != r.cfg.Incarnation || s.Upstream != r.cfg.Upstream {
		r.tellRefused(e.Stream, s.Request, s.Attempt, router.OtherIncarnation, 0)
		return
	}
	if a := r.attempts[s.Attempt]; a != nil {
		r.arriveAgain(a, e.Stream)
		return
	}
	a := &attempt{id: s.Attempt, request: s.Request, start: s, streams: []StreamID{e.Stream}, deadline: r.now.Add(s.Timeout)}
	a.set(queuedState, r.now)
	r.attempts[a.id] = a
	if reason, ok := r.reasonAgainst(a); ok {
		r.refuse(a, reason, 0)
		return
	}
	if r.isSuspect(s.Fingerprint) {
		a.start.Alone = true
	}
	r.enqueue(a)
	if a.state == queuedState {
		r.emit(Accept{Stream: e.Stream, Message: router.AttemptAccepted{Request: a.request, Attempt: a.id, Load: r.Load()}})
	}
	r.dispatch()
}

// arriveAgain takes in a duplicate: it is attached to what the first one became.
func (r *Reducer) arriveAgain(a *attempt, stream StreamID) {
	switch a.state {
	case refusedState:
		r.tellRefused(stream, a.request, a.id, router.Unseen, 0)
	case forgottenState:
		r.tellGone(stream, a.request, a.id, router.Forgotten)
	default:
		r.attach(a, stream, 0, true)
	}
}

func (r *Reducer) reasonAgainst(a *attempt) (router.RefuseReason, bool) {
	s := a.start
	switch {
	case r.leaving:
		return router.Leaving, true
	case !r.ready:
		return router.NotReady, true
	case s.Timeout <= 0:
		return router.Expired, true
	case r.isRefused(s.Fingerprint):
		return router.Suspected, true
	case a.nonIdempotent() && (s.Token == 0 || s.Key == ""):
		return router.Unclaimed, true
	case a.nonIdempotent() && r.ranElsewhere(a):
		return router.Superseded, true
	}
	return "", false
}

// ranElsewhere reports whether another attempt of the same key ran here.
func (r *Reducer) ranElsewhere(a *attempt) bool {
	ran, ok := r.started[keyOf(a.start)]
	return ok && ran != a.id
}

func (r *Reducer) enqueue(a *attempt) {
	if wait := r.expectedWait(a); wait > a.start.Timeout-r.duration.Low() {
		r.refuse(a, router.Busy, wait)
		return
	}
	r.queue.SetMaxItems(r.maxQueue())
	evicted, full := r.queue.Push(limiter.Item[identifier.Organisation, identifier.AttemptID]{
		Flow:     a.start.Organisation,
		Weight:   a.start.Weight,
		Deadline: a.deadline,
		Value:    a.id,
	})
	if full {
		r.refuse(r.attempts[evicted], router.Busy, r.busyPause())
	}
}

// expectedWait estimates how long the attempt would wait in the queue.
func (r *Reducer) expectedWait(a *attempt) time.Duration {
	if r.startable() > 0 {
		return 0
	}
	ahead := r.queue.Ahead(a.start.Organisation)
	return time.Duration(ahead+1) * r.duration.Value() / time.Duration(r.limit.Limit())
}

func (r *Reducer) busyPause() time.Duration {
	return max(minBusyPause, r.duration.Value()/time.Duration(r.limit.Limit()))
}

// startable returns how many attempts may start now.
func (r *Reducer) startable() int {
	if r.alone != nil || !r.ready || r.leaving {
		return 0
	}
	return max(0, r.limit.Limit()-len(r.running))
}

// dispatch starts queued attempts up to the limit. A suspect waits until nothing
// runs, and nothing starts beside it.
func (r *Reducer) dispatch() {
	for r.startable() > 0 {
		item, ok := r.queue.Pop()
		if !ok {
			return
		}
		a := r.attempts[item.Value]
		if r.now.Add(r.duration.Low()).After(a.deadline) {
			r.refuse(a, router.Expired, 0)
			continue
		}
		if a.isAlone() {
			if len(r.running) > 0 && r.now.Before(r.aloneAfter) {
				r.refuse(a, router.Busy, r.aloneAfter.Sub(r.now))
				continue
			}
			r.alone, r.aloneSince = a, r.now
			break
		}
		r.run(a)
	}
	if r.alone != nil && r.alone.state == queuedState && len(r.running) == 0 && r.ready && !r.leaving {
		r.run(r.alone)
	}
}

// run starts the attempt, the only place where work begins.
func (r *Reducer) run(a *attempt) {
	detail := fmt.Sprintf("attempt %s", a.id)
	if !r.check.Check(asserter.LeavingStartsNothing, !r.leaving, detail) {
		r.refuse(a, router.Leaving, 0)
		return
	}
	if a.nonIdempotent() {
		once := a.state == queuedState && a.start.Token != 0 && !r.ranElsewhere(a)
		if !r.check.Check(asserter.AtMostOnce, once, detail) {
			r.refuse(a, router.Superseded, 0)
			return
		}
		r.started[keyOf(a.start)] = a.id
	}
	a.set(runningState, r.now)
	r.running[a.id] = a
	r.emit(Run{Attempt: a.id})
	for _, s := range a.streams {
		r.emit(Attach{Attempt: a.id, Stream: s, WantHead: true})
	}
}

func (r *Reducer) asked(e AttemptAsked) {
	ask := e.Ask
	if ask.Incarnation != r.cfg.Incarnation || ask.Upstream != r.cfg.Upstream {
		r.tellGone(e.Stream, ask.Request, ask.Attempt, router.Restarted)
		return
	}
	a := r.attempts[ask.Attempt]
	if a == nil {
		r.refuseUnseen(e.Stream, ask.Request, ask.Attempt, router.Unseen)
		return
	}
	switch a.state {
	case refusedState:
		r.tellRefused(e.Stream, a.request, a.id, router.Unseen, 0)
	case forgottenState:
		r.tellGone(e.Stream, a.request, a.id, router.Forgotten)
	default:
		r.attach(a, e.Stream, ask.Offset, ask.WantHead)
	}
}

func (r *Reducer) cancelled(e AttemptCancelled) {
	c := e.Cancel
	if c.Incarnation != r.cfg.Incarnation || c.Upstream != r.cfg.Upstream {
		r.tellGone(e.Stream, c.Request, c.Attempt, router.Restarted)
		return
	}
	a := r.attempts[c.Attempt]
	switch {
	case a == nil:
		r.refuseUnseen(e.Stream, c.Request, c.Attempt, router.Cancelled)
	case a.state == refusedState:
		r.tellRefused(e.Stream, a.request, a.id, router.Cancelled, 0)
	case a.state == queuedState:
		r.queue.RemoveWhere(func(id identifier.AttemptID) bool { return id == a.id })
		a.streams = appendMissing(a.streams, e.Stream)
		r.refuse(a, router.Cancelled, 0)
		r.dispatch()
	case a.state == runningState && !a.nonIdempotent():
		r.stop(a)
	}
}

func (r *Reducer) stop(a *attempt) {
	if a.stopping {
		return
	}
	a.stopping = true
	r.emit(Stop{Attempt: a.id})
}

func (r *Reducer) answering(e AttemptAnswering) {
	if r.running[e.Attempt] == nil {
		return
	}
	r.latency.Add(e.Latency)
	r.limit.Observe(r.now, e.Latency, len(r.running))
}

func (r *Reducer) finished(e AttemptFinished) {
	a := r.running[e.Attempt]
	if a == nil {
		return
	}
	delete(r.running, a.id)
	a.end = e.Kind
	if e.Kind == Whole {
		r.duration.Add(r.now.Sub(a.changed))
		r.clearSuspect(a)
	}
	a.set(endedState, r.now)
	if r.alone == a {
		r.alone = nil
	}
	if e.Kind != Whole {
		r.tellAllGone(a)
	}
	r.dispatch()
}

// notSent takes back a run that the upstream was never told of.
func (r *Reducer) notSent(e AttemptNotSent) {
	a := r.running[e.Attempt]
	if a == nil {
		return
	}
	delete(r.running, a.id)
	if a.nonIdempotent() {
		delete(r.started, keyOf(a.start))
	}
	a.set(queuedState, r.now)
	r.refuse(a, router.NotReady, 0)
	r.dispatch()
}
