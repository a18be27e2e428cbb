package balancer

import (
	"net/http"
	"slices"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// attempt is one attempt of a request that is in progress.
type attempt struct {
	*request
	number int // Send.Attempt
	target *upstream
	sentAt time.Time
	// uncorrected is the forecast of the first byte without the bias of such forecasts.
	uncorrected time.Duration
	// paced reports whether the attempt counts against a share.
	paced bool
	// firstByteAt is when the response began, or zero.
	firstByteAt time.Time
	// measuredEvents and measuredAt are the events up to which the upstream's speed was
	// measured, and when the last of them came.
	measuredEvents int
	measuredAt     time.Time
	answered       bool // the response has begun, or the attempt is over
	sent           bool // its upstream may have got the request
	// release is what the upstream held when it was chosen.
	release declarer.ReleaseNumber
	// silent is set while the upstream has sent nothing for long.
	silent bool
}

// attemptOf returns an attempt in progress by its number, or the latest one for number 0.
func (r *Reducer) attemptOf(id identifier.RequestID, number int) (*attempt, bool) {
	s, ok := r.requests[id]
	if !ok || len(s.inProgress) == 0 {
		return nil, false
	}
	if number == 0 {
		return s.inProgress[len(s.inProgress)-1], true
	}
	for _, a := range s.inProgress {
		if a.number == number {
			return a, true
		}
	}
	return nil, false
}

func (r *Reducer) send(now time.Time, s *request, u *upstream, forecast time.Duration, policy ServicePolicy) Effect {
	s.attempts++
	s.sends++
	s.tried[u.view.Upstream] = true
	a := &attempt{
		request:     s,
		number:      s.sends,
		target:      u,
		sentAt:      now,
		release:     u.view.Release,
		uncorrected: forecast - r.biasOf(s.Service, u).at(now),
	}
	s.inProgress = append(s.inProgress, a)
	if s.attempts == 1 {
		s.firstSentAt = now
	}
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
		Attempt:  a.number,
		Target:   u.view,
		Urgency:  defaultUrgency,
		Forecast: forecast,
		Load:     load,
		LoadAge:  age,
		Pace:     u.reported.Pace,
		Slowness: u.speed.at(now),

		HeldTokens:   r.addPrompt(a, policy, othersRatio),
		IgnoredParts: s.ignoredParts,
		Admission:    s.admission,
		BeginBy:      r.nextBeginCheck(now, s, policy, u.view.Release),
	}
	if u.limit.InForce {
		effect.LimitStamp = u.limit.Stamp
	}
	effect.Cold = u.cold.bound
	u.recordPacedSend(now, a)
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
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok || a.answered {
		return NoEffect{}
	}
	a.mayHaveRun = true
	a.silent = false
	u := a.target
	r.recordActivity(now, u)
	a.firstByteAt = now
	a.measuredEvents, a.measuredAt = 1, now
	if e.Status < http.StatusBadRequest {
		a.confirmPrompt()
	}
	a.stopWaiting()
	r.measureFirstByte(now, a)
	r.observeAnswer(now, u, e.Load)
	return NoEffect{}
}

// measureFirstByte learns from the time to the first byte. If the upstream was silent in between,
// that says nothing of its load.
func (r *Reducer) measureFirstByte(now time.Time, a *attempt) {
	if a.sentAt.Before(a.target.resumedAt) {
		return
	}
	a.target.firstByte.Add(now.Sub(a.sentAt))
	r.learnBias(now, a)
	if a.attempts == 1 && !a.Resubmitted && a.Objective > 0 {
		r.demandOf(a.Service).observeFirstByte(now.Sub(a.firstSentAt), a.Objective)
	}
}

// hasResponsiveAttempt reports whether an attempt is in progress whose upstream isn't silent.
func (s *request) hasResponsiveAttempt() bool {
	return slices.ContainsFunc(s.inProgress, func(a *attempt) bool { return !a.silent })
}

// recordAttemptFailure counts the failure of an attempt, unless its silence was counted already.
func (r *Reducer) recordAttemptFailure(now time.Time, a *attempt, cause Cause) {
	if !a.silent {
		r.recordFailure(now, a.target, cause)
	}
}

// stalled asks another upstream while the one of the attempt is silent. The attempt goes on.
func (r *Reducer) stalled(now time.Time, e AttemptStalled) Effect {
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok {
		return NoEffect{}
	}
	if !a.silent {
		a.silent = true
		a.target.silent = a.target.silent || now.Sub(a.target.heardAt) >= crashSpan
		r.recordFailure(now, a.target, FirstByteTimedOut)
	}
	mayRetry := a.Repeatable
	if e.PartlySent {
		mayRetry = e.Resumable
	}
	if !mayRetry || a.hasResponsiveAttempt() {
		return NoEffect{}
	}
	if effect, reason := r.retry(now, a.request); reason == "" {
		return effect
	}
	return NoEffect{}
}

// chosen ends the other attempts of a request, since the caller gets the response of this one.
func (r *Reducer) chosen(now time.Time, e AttemptChosen) Effect {
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok {
		return NoEffect{}
	}
	if a.silent {
		a.silent = false
		r.recordActivity(now, a.target)
		r.recordSuccess(now, a.target)
	}
	for _, other := range slices.Clone(a.inProgress) {
		if other != a {
			r.abandon(now, other)
		}
	}
	return NoEffect{}
}

func (r *Reducer) ended(now time.Time, e ResponseCompleted) Effect {
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok {
		return NoEffect{}
	}
	s, u := a.request, a.target
	r.releaseAttempt(a, true)
	r.observeAnswer(now, u, e.Load)
	r.recordActivity(now, u)
	// Without a length a crash may have ended the response, and an error says nothing about
	// what a run to the end would do.
	if !e.IsError && (!e.Unframed || a.survived(now)) {
		r.crashes.recordCompletion(now, s.Fingerprint, a.sentAt)
		r.crashes.recordParts(now, a)
	}
	if !e.IsError {
		r.recordSuccess(now, u)
		r.end(now, s)
		return NoEffect{}
	}
	s.mayHaveRun = true
	r.recordAttemptFailure(now, a, UpstreamError)
	if s.hasResponsiveAttempt() {
		return Await{Request: s.ID}
	}
	if s.Repeatable {
		if effect, reason := r.retry(now, s); reason == "" {
			return effect
		}
	}
	if len(s.inProgress) > 0 {
		return Await{Request: s.ID}
	}
	r.end(now, s)
	return NoEffect{}
}

func (r *Reducer) broke(now time.Time, e AttemptFailed) Effect {
	a, ok := r.attemptOf(e.Request, e.Attempt)
	if !ok {
		return NoEffect{}
	}
	s, u := a.request, a.target
	r.releaseAttempt(a, e.Cause != NotConnected)
	r.observeAnswer(now, u, e.Load)
	switch e.Cause {
	case NotConnected:
		r.recordFailure(now, u, e.Cause)
		s.attempts-- // nothing reached the upstream
		delete(s.tried, u.view.Upstream)
	case NotExecuted:
	case Expired:
		s.mayHaveRun = true
		r.recordLoss(now, a, e.Cause)
		return r.giveUp(now, s, DeadlineExceeded, 0)
	case NoMemory:
		s.mayHaveRun = true
	case Misdirected:
		u.forgetPrefixes()
		r.recordFailure(now, u, e.Cause)
	case ConnectionLost, FirstByteTimedOut:
		s.mayHaveRun = true
		r.recordLoss(now, a, e.Cause)
		r.recordAttemptFailure(now, a, e.Cause)
	default:
		s.mayHaveRun = true
		r.recordAttemptFailure(now, a, e.Cause)
	}
	if s.hasResponsiveAttempt() {
		return Await{Request: s.ID}
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
	return r.giveUpUnlessInProgress(now, s, reason, 0)
}

// retry sends the request to another upstream, or says why it doesn't.
func (r *Reducer) retry(now time.Time, s *request) (Effect, Reason) {
	policy := r.services[s.Service]
	switch {
	case s.attempts >= s.MaximumAttempts:
		return nil, NoAttemptLeft
	case s.Deadline.Sub(now) < minRemaining:
		return nil, DeadlineTooNear
	case !s.mayHaveRun && len(s.inProgress) == 0 && r.isTooLate(now, s):
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

// releaseAttempt ends the attempt and stops counting it on its upstream. reached reports whether
// the upstream got the request.
func (r *Reducer) releaseAttempt(a *attempt, reached bool) {
	r.crashes.endProbation(a, reached)
	u := a.target
	u.inFlight--
	a.withdrawPrompt()
	a.stopWaiting()
	if u.probe == a.ID {
		u.probe = ""
	}
	a.inProgress = slices.DeleteFunc(a.inProgress, func(other *attempt) bool { return other == a })
}

// abandon ends an attempt whose response isn't needed. If its upstream was silent, it may have
// crashed.
func (r *Reducer) abandon(now time.Time, a *attempt) {
	if a.silent {
		r.recordLoss(now, a, FirstByteTimedOut)
	}
	r.releaseAttempt(a, true)
}

// end ends the request with all attempts that are still in progress.
func (r *Reducer) end(now time.Time, s *request) {
	for _, a := range slices.Clone(s.inProgress) {
		r.abandon(now, a)
	}
	delete(r.requests, s.ID)
}

// stopWaiting stops counting the attempt as waiting, since its response has begun or the
// attempt is over.
func (a *attempt) stopWaiting() {
	if a.answered {
		return
	}
	a.answered = true
	a.target.waiting--
	if a.Resubmitted {
		a.target.waitingResubmitted--
	}
}
