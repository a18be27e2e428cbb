package admitter

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

// learnedRetention is how long what this agent saw counts beside the lists of
// control, which have it by then unless it was cleared.
const learnedRetention = time.Minute

// lesson is what this agent saw of one request at a crash.
type lesson struct {
	refused bool
	until   time.Time
}

func (r *Reducer) upstreamChanged(e UpstreamChanged) {
	if e.Crashed {
		r.crash()
	}
	r.ready = e.Ready
	if !r.ready {
		r.refuseQueued(router.NotReady)
		return
	}
	r.dispatch()
}

// crash ends every running attempt and makes its request a suspect, or refuses
// the one that ran alone because it was a suspect already.
func (r *Reducer) crash() {
	r.ready = false
	r.limit.Reset()
	r.crashes++
	report := CrashReport{Upstream: r.cfg.Upstream, Incarnation: r.cfg.Incarnation, Crash: r.crashes}
	for _, id := range r.runningIDs() {
		a := r.running[id]
		delete(r.running, id)
		a.crashed = true
		a.end = Broke
		a.set(endedState, r.now)
		r.suspect(a, &report)
		r.emit(Stop{Attempt: id})
		r.tellAllGone(a)
	}
	if r.alone != nil && r.alone.state != queuedState {
		r.alone = nil
	}
	if len(report.Suspects) > 0 {
		r.emit(ReportCrash{Report: report})
	}
}

func (r *Reducer) suspect(a *attempt, report *CrashReport) {
	f := a.start.Fingerprint
	if f == 0 {
		return
	}
	report.Suspects = append(report.Suspects, InFlight{
		Fingerprint:  f,
		Organisation: a.start.Organisation,
		Service:      a.start.Service,
	})
	report.Alone = report.Alone || a.isAlone()
	r.learned[f] = lesson{refused: a.isAlone() || r.isRefused(f), until: r.now.Add(learnedRetention)}
}

func (r *Reducer) isSuspect(f router.Fingerprint) bool {
	_, learned := r.learned[f]
	return f != 0 && (learned || r.suspects[f])
}

func (r *Reducer) isRefused(f router.Fingerprint) bool {
	return f != 0 && (r.refused[f] || r.learned[f].refused)
}

// clearSuspect takes the request from the suspects after it ran alone and whole.
func (r *Reducer) clearSuspect(a *attempt) {
	f := a.start.Fingerprint
	if !a.isAlone() || f == 0 {
		return
	}
	delete(r.suspects, f)
	delete(r.learned, f)
	r.emit(ReportCleared{Fingerprint: f})
}

// quarantineChanged replaces control's lists.
func (r *Reducer) quarantineChanged(e QuarantineChanged) {
	clear(r.suspects)
	clear(r.refused)
	for _, f := range e.Suspects {
		r.suspects[f] = true
	}
	for _, f := range e.Refused {
		r.refused[f] = true
	}
}

func (r *Reducer) runningIDs() []identifier.AttemptID {
	ids := make([]identifier.AttemptID, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
