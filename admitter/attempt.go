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
	// forgottenState: the attempt ended and its response is no longer kept.
	forgottenState
)

type claimKey struct {
	organisation identifier.Organisation
	service      identifier.Service
	key          identifier.IdempotencyKey
}

// attempt is the agent's record of one attempt.
type attempt struct {
	id       identifier.AttemptID
	request  identifier.RequestID
	state    state
	start    router.AttemptStart
	streams  []StreamID
	deadline time.Time
	// stateSince is when the attempt entered its state.
	stateSince time.Time
	// orphanedAt is when the last stream of the attempt ended. It is zero while the
	// attempt has a stream.
	orphanedAt time.Time
	endKind    EndKind
	crashed    bool
	stopping   bool
	// limitStamp is the stamp of the upstream's limit when the attempt started, or 0.
	limitStamp uint64
}

func (a *attempt) setState(s state, now time.Time) {
	a.state = s
	a.stateSince = now
}

func (a *attempt) runsAlone() bool {
	return a.start.Alone
}

func (a *attempt) isNonIdempotent() bool {
	return a.start.Class == router.NonIdempotent
}

func keyOf(s router.AttemptStart) claimKey {
	return claimKey{organisation: s.Organisation, service: s.Service, key: s.Key}
}

func (r *Reducer) handleArrived(e AttemptArrived) {
	s := e.Start
	if s.Incarnation != r.cfg.Incarnation || s.Upstream != r.cfg.Upstream {
		r.sendRefused(e.Stream, s.Request, s.Attempt, router.OtherIncarnation, 0)
		return
	}
	if a := r.attempts[s.Attempt]; a != nil {
		r.handleDuplicate(a, e.Stream)
		return
	}
	a := &attempt{id: s.Attempt, request: s.Request, start: s, streams: []StreamID{e.Stream}, deadline: r.now.Add(s.Timeout)}
	a.setState(queuedState, r.now)
	r.attempts[a.id] = a
	if reason, ok := r.refusalReason(a); ok {
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

// handleDuplicate attaches the stream of a duplicate to the attempt that arrived
// first, or repeats the refusal of that attempt.
func (r *Reducer) handleDuplicate(a *attempt, stream StreamID) {
	switch a.state {
	case refusedState:
		r.sendRefused(stream, a.request, a.id, router.Unseen, 0)
	case forgottenState:
		r.sendGone(stream, a.request, a.id, router.Forgotten)
	default:
		r.attach(a, stream, 0, true)
	}
}

// refusalReason returns why the attempt must be refused at once, and false if it
// may be queued.
func (r *Reducer) refusalReason(a *attempt) (router.RefuseReason, bool) {
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
	case a.isNonIdempotent() && (s.Token == 0 || s.Key == ""):
		return router.Unclaimed, true
	case a.isNonIdempotent() && r.keyRanBefore(a):
		return router.Superseded, true
	}
	return "", false
}

// keyRanBefore reports whether another attempt with the same key has started on
// this agent.
func (r *Reducer) keyRanBefore(a *attempt) bool {
	previous, ok := r.started[keyOf(a.start)]
	return ok && previous != a.id
}

// enqueue queues the attempt, or refuses it if it could not end before its deadline.
// If the queue is full, the attempt that leaves the queue for it is refused.
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
		r.refuse(r.attempts[evicted], router.Busy, r.busyRetryAfter())
	}
}

// expectedWait estimates how long the attempt would wait in the queue.
func (r *Reducer) expectedWait(a *attempt) time.Duration {
	if r.freeSlots() > 0 {
		return 0
	}
	ahead := r.queue.Ahead(a.start.Organisation)
	return time.Duration(ahead+1) * r.startInterval()
}

// busyRetryAfter returns the estimated time until a slot becomes free, and at least
// minBusyRetryAfter.
func (r *Reducer) busyRetryAfter() time.Duration {
	return max(minBusyRetryAfter, r.startInterval())
}

// freeSlots returns how many more attempts may start now.
func (r *Reducer) freeSlots() int {
	if r.isolated != nil || !r.ready || r.leaving || !r.withinRequestLimit() {
		return 0
	}
	return max(0, r.limit.Limit()-len(r.running))
}

// dispatch starts queued attempts up to the limit. If the next one is a suspect, it
// waits until nothing else runs, and nothing starts until it has ended.
func (r *Reducer) dispatch() {
	for r.freeSlots() > 0 {
		item, ok := r.queue.Pop()
		if !ok {
			return
		}
		a := r.attempts[item.Value]
		if r.now.Add(r.duration.Low()).After(a.deadline) {
			r.refuse(a, router.Expired, 0)
			continue
		}
		if a.runsAlone() {
			if len(r.running) > 0 && r.now.Before(r.nextIsolation) {
				r.refuse(a, router.Busy, r.nextIsolation.Sub(r.now))
				continue
			}
			r.isolated, r.isolatedSince = a, r.now
			break
		}
		r.run(a)
	}
	if r.isolated != nil && r.isolated.state == queuedState && len(r.running) == 0 && r.ready && !r.leaving && r.withinRequestLimit() {
		r.run(r.isolated)
	}
}

// run starts the attempt. No other function emits Run.
func (r *Reducer) run(a *attempt) {
	detail := fmt.Sprintf("attempt %s", a.id)
	if !r.check.Check(asserter.LeavingStartsNothing, !r.leaving, detail) {
		r.refuse(a, router.Leaving, 0)
		return
	}
	if a.isNonIdempotent() {
		firstRun := a.state == queuedState && a.start.Token != 0 && !r.keyRanBefore(a)
		if !r.check.Check(asserter.AtMostOnce, firstRun, detail) {
			r.refuse(a, router.Superseded, 0)
			return
		}
		r.started[keyOf(a.start)] = a.id
	}
	a.setState(runningState, r.now)
	r.recordStart(a)
	r.running[a.id] = a
	r.emit(Run{Attempt: a.id})
	for _, s := range a.streams {
		r.emit(Attach{Attempt: a.id, Stream: s, WantHead: true})
	}
}

func (r *Reducer) handleAsked(e AttemptAsked) {
	ask := e.Ask
	if ask.Incarnation != r.cfg.Incarnation || ask.Upstream != r.cfg.Upstream {
		r.sendGone(e.Stream, ask.Request, ask.Attempt, router.Restarted)
		return
	}
	a := r.attempts[ask.Attempt]
	if a == nil {
		r.refuseUnknown(e.Stream, ask.Request, ask.Attempt, router.Unseen)
		return
	}
	switch a.state {
	case refusedState:
		r.sendRefused(e.Stream, a.request, a.id, router.Unseen, 0)
	case forgottenState:
		r.sendGone(e.Stream, a.request, a.id, router.Forgotten)
	default:
		r.attach(a, e.Stream, ask.Offset, ask.WantHead)
	}
}

func (r *Reducer) handleCancelled(e AttemptCancelled) {
	c := e.Cancel
	if c.Incarnation != r.cfg.Incarnation || c.Upstream != r.cfg.Upstream {
		r.sendGone(e.Stream, c.Request, c.Attempt, router.Restarted)
		return
	}
	a := r.attempts[c.Attempt]
	switch {
	case a == nil:
		r.refuseUnknown(e.Stream, c.Request, c.Attempt, router.Cancelled)
	case a.state == refusedState:
		r.sendRefused(e.Stream, a.request, a.id, router.Cancelled, 0)
	case a.state == queuedState:
		r.queue.RemoveWhere(func(id identifier.AttemptID) bool { return id == a.id })
		a.streams = appendUnique(a.streams, e.Stream)
		r.refuse(a, router.Cancelled, 0)
		r.dispatch()
	case a.state == runningState && !a.isNonIdempotent():
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

func (r *Reducer) handleAnswering(e ResponseStarted) {
	a := r.running[e.Attempt]
	if a == nil {
		return
	}
	r.observeRequestLimit(a, e.Limit)
	r.latency.Add(e.Latency)
	r.limit.Observe(r.now, e.Latency, len(r.running))
}

func (r *Reducer) handleFinished(e AttemptFinished) {
	a := r.running[e.Attempt]
	if a == nil {
		return
	}
	delete(r.running, a.id)
	a.endKind = e.Kind
	if e.Kind == Complete {
		r.duration.Add(r.now.Sub(a.stateSince))
		r.clearSuspect(a)
	}
	a.setState(endedState, r.now)
	if r.isolated == a {
		r.isolated = nil
	}
	if e.Kind != Complete {
		r.sendGoneToAll(a)
	}
	r.dispatch()
}

// handleNotSent refuses an attempt of which no byte reached the upstream. The key of
// a non-idempotent attempt may then be run again.
func (r *Reducer) handleNotSent(e AttemptNotSent) {
	a := r.running[e.Attempt]
	if a == nil {
		return
	}
	delete(r.running, a.id)
	if a.isNonIdempotent() {
		delete(r.started, keyOf(a.start))
	}
	a.setState(queuedState, r.now)
	r.refuse(a, router.NotReady, 0)
	r.dispatch()
}
