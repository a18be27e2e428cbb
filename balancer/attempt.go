package balancer

import (
	"net/http"
	"time"

	"celeryvalve/declarer"
)

func (r *Reducer) send(now time.Time, s *request, u *upstream, forecast time.Duration, policy ServicePolicy) Effect {
	s.attempts++
	s.tried[u.view.Upstream] = true
	s.target = u
	s.sentAt = now
	s.uncorrected = forecast - r.biasOf(s.Service, u).at(now)
	if s.attempts == 1 {
		s.firstSentAt = now
	}
	s.answered = false
	s.firstByteAt = time.Time{}
	s.measuredEvents = 0
	r.crashes.beginProbation(s)
	othersRatio := u.othersRatio(r.othersRatio(s.Service))
	load, age := u.load(now, othersRatio)
	u.recordSend(now)
	u.inFlight++
	u.waiting++
	if s.Resubmitted {
		u.waitingResubmitted++
	}
	if u.ejectionTime > 0 {
		u.probe = s.ID
	}
	effect := Send{
		Request:  s.ID,
		Attempt:  s.attempts,
		Target:   u.view,
		Urgency:  defaultUrgency,
		Forecast: forecast,
		Load:     load,
		LoadAge:  age,
		Pace:     u.reported.Pace,
		Slowness: u.speed.at(now),

		HeldTokens:   r.addPrompt(s, policy, othersRatio),
		IgnoredParts: s.ignoredParts,
		Admission:    s.admission,
	}
	if u.limit.InForce {
		effect.LimitStamp = u.limit.Stamp
	}
	effect.Cold = u.cold.bound
	u.recordPacedSend(now, s)
	switch {
	case s.Resubmitted:
		effect.Urgency = resubmittedUrgency
	case s.attempts > 1:
		effect.Urgency = retryUrgency
	}
	if s.Generates && r.minRelease(now, policy) > declarer.FirstRelease {
		effect.ExpectedRelease = u.view.Release
	}
	if s.Repeatable && s.attempts < s.MaximumAttempts {
		shortest := min(minFirstByteTimeout, s.Deadline.Sub(now)/firstByteTimeoutDivisor)
		effect.FirstByteTimeout = max(shortest, firstByteTimeoutFactor*forecast)
	}
	return effect
}

func (r *Reducer) answering(now time.Time, e ResponseStarted) Effect {
	s, ok := r.requests[e.Request]
	if !ok || s.answered {
		return NoEffect{}
	}
	s.mayHaveRun = true
	u := s.target
	u.heardAt = now
	s.firstByteAt = now
	s.measuredEvents, s.measuredAt = 1, now
	if e.Status < http.StatusBadRequest {
		s.confirmPrompt()
	}
	s.stopWaiting()
	u.firstByte.Add(now.Sub(s.sentAt))
	r.learnBias(now, s)
	if s.attempts == 1 && !s.Resubmitted && s.Objective > 0 {
		r.demandOf(s.Service).observeFirstByte(now.Sub(s.firstSentAt), s.Objective)
	}
	r.observeAnswer(now, u, e.Load)
	return NoEffect{}
}

func (r *Reducer) ended(now time.Time, e ResponseCompleted) Effect {
	s, ok := r.requests[e.Request]
	if !ok {
		return NoEffect{}
	}
	u := s.target
	r.releaseAttempt(s, true)
	r.observeAnswer(now, u, e.Load)
	u.heardAt = now
	// Without a length a crash may have ended the response, and an error says nothing about
	// what a run to the end would do.
	if !e.IsError && (!e.Unframed || s.survived(now)) {
		r.crashes.recordCompletion(now, s.Fingerprint, s.sentAt)
		r.crashes.recordParts(now, s)
	}
	if !e.IsError {
		r.recordSuccess(now, u)
		delete(r.requests, s.ID)
		return NoEffect{}
	}
	s.mayHaveRun = true
	r.recordFailure(now, u, UpstreamError)
	if s.Repeatable {
		if effect, reason := r.retry(now, s); reason == "" {
			return effect
		}
	}
	delete(r.requests, s.ID)
	return NoEffect{}
}

func (r *Reducer) broke(now time.Time, e AttemptFailed) Effect {
	s, ok := r.requests[e.Request]
	if !ok {
		return NoEffect{}
	}
	u := s.target
	r.releaseAttempt(s, e.Cause != NotConnected)
	r.observeAnswer(now, u, e.Load)
	switch e.Cause {
	case NotConnected:
		r.recordFailure(now, u, e.Cause)
		s.attempts-- // nothing reached the upstream
	case NotExecuted:
	case Expired:
		s.mayHaveRun = true
		r.recordLoss(now, s, e.Cause)
		return r.giveUp(now, s, DeadlineExceeded, 0)
	case Misdirected:
		u.forgetPrefixes()
		r.recordFailure(now, u, e.Cause)
	case ConnectionLost, FirstByteTimedOut:
		s.mayHaveRun = true
		r.recordLoss(now, s, e.Cause)
		r.recordFailure(now, u, e.Cause)
	default:
		s.mayHaveRun = true
		r.recordFailure(now, u, e.Cause)
	}
	mayRetry := !s.mayHaveRun || s.Repeatable
	if e.PartlySent {
		mayRetry = e.Resumable
	}
	if !mayRetry {
		return r.giveUp(now, s, MayHaveRun, 0)
	}
	if e.Cause == NotConnected {
		return r.dispatch(now, s)
	}
	effect, reason := r.retry(now, s)
	if reason == "" {
		return effect
	}
	switch other := r.reasonWithoutUpstream(now, s, r.services[s.Service]); other {
	case Resting, Evacuated: // says when the request may come back
		reason = other
	}
	return r.giveUp(now, s, reason, 0)
}

// retry sends the request to another upstream, or says why it doesn't.
func (r *Reducer) retry(now time.Time, s *request) (Effect, Reason) {
	policy := r.services[s.Service]
	switch {
	case s.attempts >= s.MaximumAttempts:
		return nil, NoAttemptLeft
	case s.Deadline.Sub(now) < minRemaining:
		return nil, DeadlineTooNear
	case !s.mayHaveRun && r.isTooLate(now, s):
		return nil, Draining
	case r.crashes.refuses(now, &s.Request):
		return nil, Quarantined
	}
	best, forecast := r.choose(now, s, policy)
	if best == nil || s.tried[best.view.Upstream] {
		return nil, r.reasonWithoutUpstream(now, s, policy)
	}
	if !r.budget(s.Service).Take() {
		return nil, NoBudget
	}
	return r.send(now, s, best, forecast, policy), ""
}

// releaseAttempt stops counting the current attempt on its upstream. reached reports whether
// the upstream got the request.
func (r *Reducer) releaseAttempt(s *request, reached bool) {
	r.crashes.endProbation(s, reached)
	u := s.target
	u.inFlight--
	s.withdrawPrompt()
	s.stopWaiting()
	if u.probe == s.ID {
		u.probe = ""
	}
}

// stopWaiting stops counting the current attempt as waiting, since its response has
// begun or the attempt is over.
func (s *request) stopWaiting() {
	if s.answered {
		return
	}
	s.answered = true
	s.target.waiting--
	if s.Resubmitted {
		s.target.waitingResubmitted--
	}
}
