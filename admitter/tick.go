package admitter

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

const cleanupInterval = time.Second

// handleTick refuses queued attempts that can't end before their deadlines, stops
// orphaned attempts and removes expired records.
func (r *Reducer) handleTick() {
	for _, id := range r.queue.Expire(r.now.Add(r.duration.Low())) {
		r.refuse(r.attempts[id], router.Expired, 0)
	}
	if a := r.isolated; a != nil && a.state == queuedState {
		r.expireIsolation(a)
	}
	for _, id := range r.runningIDs() {
		if a := r.running[id]; r.isOrphan(a) {
			r.stop(a)
		}
	}
	if !r.now.Before(r.nextCleanup) {
		r.nextCleanup = r.now.Add(cleanupInterval)
		r.cleanUp()
	}
	r.dispatch()
}

// expireIsolation refuses a suspect that waits to run alone if its deadline has passed
// or if it has blocked other attempts for isolationTimeout.
func (r *Reducer) expireIsolation(a *attempt) {
	switch {
	case !a.deadline.After(r.now):
		r.refuse(a, router.Expired, 0)
	case r.now.Sub(r.isolatedSince) >= isolationTimeout:
		r.nextIsolation = r.now.Add(isolationBackoff)
		r.refuse(a, router.Busy, isolationBackoff)
	}
}

// isOrphan reports whether an idempotent attempt has had no stream for orphanTimeout.
func (r *Reducer) isOrphan(a *attempt) bool {
	return !a.isNonIdempotent() && !a.orphanedAt.IsZero() && r.now.Sub(a.orphanedAt) >= orphanTimeout
}

// cleanUp removes expired records. An ended attempt first becomes a forgotten one,
// which keeps its id but not its response.
func (r *Reducer) cleanUp() {
	for f, entry := range r.localQuarantine {
		if !entry.expiresAt.After(r.now) {
			delete(r.localQuarantine, f)
		}
	}
	for _, id := range r.expiredIDs() {
		a := r.attempts[id]
		if a.state == endedState {
			a.setState(forgottenState, r.now)
			r.emit(Forget{Attempt: id})
			continue
		}
		delete(r.attempts, id)
		if key := keyOf(a.start); r.started[key] == id {
			delete(r.started, key)
		}
	}
}

// expiredIDs returns, in sorted order, the attempts whose state is older than its
// retention. An ended attempt does not expire while a stream receives its response.
func (r *Reducer) expiredIDs() []identifier.AttemptID {
	var ids []identifier.AttemptID
	for id, a := range r.attempts {
		age := r.now.Sub(a.stateSince)
		switch a.state {
		case endedState:
			if age >= responseRetention && len(a.streams) == 0 {
				ids = append(ids, id)
			}
		case refusedState, forgottenState:
			if age >= attemptIDRetention {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
