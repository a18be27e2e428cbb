package admitter

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

const forgetInterval = time.Second

// tick refuses what waited too long, stops what nobody reads and forgets what is old.
func (r *Reducer) tick() {
	for _, id := range r.queue.Expire(r.now.Add(r.duration.Low())) {
		r.refuse(r.attempts[id], router.Expired, 0)
	}
	if a := r.alone; a != nil && a.state == queuedState {
		r.tickWaitingAlone(a)
	}
	for _, id := range r.runningIDs() {
		if a := r.running[id]; r.isOrphan(a) {
			r.stop(a)
		}
	}
	if !r.now.Before(r.nextForget) {
		r.nextForget = r.now.Add(forgetInterval)
		r.forgetOld()
	}
	r.dispatch()
}

// tickWaitingAlone ends the wait of a suspect that holds others back too long.
func (r *Reducer) tickWaitingAlone(a *attempt) {
	switch {
	case !a.deadline.After(r.now):
		r.refuse(a, router.Expired, 0)
	case r.now.Sub(r.aloneSince) >= holdTimeout:
		r.aloneAfter = r.now.Add(holdPause)
		r.refuse(a, router.Busy, holdPause)
	}
}

func (r *Reducer) isOrphan(a *attempt) bool {
	return !a.nonIdempotent() && !a.orphaned.IsZero() && r.now.Sub(a.orphaned) >= orphanTimeout
}

func (r *Reducer) forgetOld() {
	for f, l := range r.learned {
		if !l.until.After(r.now) {
			delete(r.learned, f)
		}
	}
	for _, id := range r.oldIDs() {
		a := r.attempts[id]
		if a.state == endedState {
			a.set(forgottenState, r.now)
			r.emit(Forget{Attempt: id})
			continue
		}
		delete(r.attempts, id)
		if key := keyOf(a.start); r.started[key] == id {
			delete(r.started, key)
		}
	}
}

// oldIDs returns the attempts whose state has outlived its retention.
func (r *Reducer) oldIDs() []identifier.AttemptID {
	var ids []identifier.AttemptID
	for id, a := range r.attempts {
		age := r.now.Sub(a.changed)
		switch a.state {
		case endedState:
			if age >= answerRetention && len(a.streams) == 0 {
				ids = append(ids, id)
			}
		case refusedState, forgottenState:
			if age >= attemptRetention {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
