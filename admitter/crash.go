package admitter

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
	"celeryvalve/router"
)

// localQuarantineTTL is how long this agent's own observations apply in addition to
// the lists of the control plane. By then the lists contain the request, unless an
// operator or a run without a crash has cleared it.
const localQuarantineTTL = time.Minute

// quarantineEntry records that a request was running when the upstream crashed, and
// whether it is refused because of that.
type quarantineEntry struct {
	refused   bool
	expiresAt time.Time
}

func (r *Reducer) handleUpstreamChanged(e UpstreamChanged) {
	if e.Crashed {
		r.handleCrash()
	}
	r.ready = e.Ready
	if !r.ready {
		r.refuseQueued(router.NotReady)
		return
	}
	r.dispatch()
}

// handleCrash ends every running attempt and makes its request a suspect. The request
// of an attempt that ran alone is refused from then on.
func (r *Reducer) handleCrash() {
	r.ready = false
	r.limit.Reset()
	r.forgetRequestLimit()
	r.crashes++
	report := CrashReport{Upstream: r.cfg.Upstream, Incarnation: r.cfg.Incarnation, Number: r.crashes}
	for _, id := range r.runningIDs() {
		a := r.running[id]
		delete(r.running, id)
		a.crashed = true
		a.endKind = Interrupted
		a.setState(endedState, r.now)
		r.quarantine(a, &report)
		r.emit(Stop{Attempt: id})
		r.sendGoneToAll(a)
	}
	if r.isolated != nil && r.isolated.state != queuedState {
		r.isolated = nil
	}
	if len(report.Suspects) > 0 {
		r.emit(ReportCrash{Report: report})
	}
}

// quarantine adds the attempt's request to the report and to the local quarantine.
func (r *Reducer) quarantine(a *attempt, report *CrashReport) {
	f := a.start.Fingerprint
	if f == 0 {
		return
	}
	report.Suspects = append(report.Suspects, InFlightRequest{
		Fingerprint:  f,
		Organisation: a.start.Organisation,
		Service:      a.start.Service,
	})
	report.Alone = report.Alone || a.runsAlone()
	r.localQuarantine[f] = quarantineEntry{refused: a.runsAlone() || r.isRefused(f), expiresAt: r.now.Add(localQuarantineTTL)}
}

func (r *Reducer) isSuspect(f quarantiner.Fingerprint) bool {
	_, local := r.localQuarantine[f]
	return f != 0 && (local || r.suspects[f])
}

func (r *Reducer) isRefused(f quarantiner.Fingerprint) bool {
	return f != 0 && (r.refused[f] || r.localQuarantine[f].refused)
}

// clearSuspect removes the attempt's request from the suspects if the attempt ran
// alone. It is called after a run that ended with a complete response.
func (r *Reducer) clearSuspect(a *attempt) {
	f := a.start.Fingerprint
	if !a.runsAlone() || f == 0 {
		return
	}
	delete(r.suspects, f)
	delete(r.localQuarantine, f)
	r.emit(ReportCleared{Fingerprint: f})
}

// handleQuarantineChanged replaces the lists of the control plane.
func (r *Reducer) handleQuarantineChanged(e QuarantineChanged) {
	clear(r.suspects)
	clear(r.refused)
	for _, f := range e.Suspects {
		r.suspects[f] = true
	}
	for _, f := range e.Refused {
		r.refused[f] = true
	}
}

// runningIDs returns the ids of the running attempts in sorted order, so that the
// order of effects is deterministic.
func (r *Reducer) runningIDs() []identifier.AttemptID {
	ids := make([]identifier.AttemptID, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
