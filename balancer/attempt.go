package balancer

import (
	"time"

	"celeryvalve/declarer"
)

func (r *Reducer) send(now time.Time, s *request, u *upstream, forecast time.Duration, policy ServicePolicy) Effect {
	s.attempts++
	s.tried[u.view.Upstream] = true
	s.current = u
	s.sentAt = now
	s.answered = false
	load, age := u.load(now, r.others(s.Service))
	u.noteSend(now)
	u.inFlight++
	u.waiting++
	if s.Returned {
		u.yielding++
	}
	if u.asideFor > 0 {
		u.probing = s.ID
	}
	effect := Send{
		Request:  s.ID,
		Attempt:  s.attempts,
		Target:   u.view,
		Urgency:  defaultUrgency,
		Forecast: forecast,
		Load:     load,
		LoadAge:  age,
	}
	switch {
	case s.Returned:
		effect.Urgency = returnedUrgency
	case s.attempts > 1:
		effect.Urgency = againUrgency
	}
	if s.Generates && r.floor(now, policy) > declarer.FirstRelease {
		effect.Expect = u.view.Release
	}
	if s.Repeatable && s.attempts < s.MaximumAttempts {
		effect.FirstByteWithin = max(silenceLeast, silenceFactor*forecast)
	}
	return effect
}

// floor returns the oldest release that may still begin a request: each release
// puts an end to those before it once its own time is over.
func (r *Reducer) floor(now time.Time, policy ServicePolicy) declarer.ReleaseNumber {
	floor := declarer.FirstRelease
	for _, n := range policy.Named {
		if now.Sub(n.At) >= r.cfg.ExpectAfter {
			floor = max(floor, n.Number)
		}
	}
	return floor
}

func (r *Reducer) answering(now time.Time, e Answering) Effect {
	s, ok := r.requests[e.Request]
	if !ok || s.answered {
		return Go{}
	}
	s.mayHaveRun = true
	u := s.current
	s.stopWaiting()
	u.firstByte.Add(now.Sub(s.sentAt))
	u.observe(now, e.Load, 0)
	return Go{}
}

func (r *Reducer) ended(now time.Time, e Ended) Effect {
	s, ok := r.requests[e.Request]
	if !ok {
		return Go{}
	}
	u := s.current
	r.leave(s)
	u.observe(now, e.Load, 0)
	if !e.Failed {
		r.trust(u)
		delete(r.requests, s.ID)
		return Go{}
	}
	s.mayHaveRun = true
	r.blame(now, u, Failed)
	if s.Repeatable {
		if effect, ok := r.again(now, s); ok {
			return effect
		}
	}
	delete(r.requests, s.ID)
	return Go{}
}

func (r *Reducer) broke(now time.Time, e Broke) Effect {
	s, ok := r.requests[e.Request]
	if !ok {
		return Go{}
	}
	u := s.current
	r.leave(s)
	u.observe(now, e.Load, 0)
	switch e.Cause {
	case NotConnected:
		r.blame(now, u, e.Cause)
		s.attempts-- // nothing reached the upstream
	case NotExecuted:
	case Expired:
		s.mayHaveRun = true
		return r.giveUp(now, s, TimeEnded, 0)
	case Mistaken:
		r.blame(now, u, e.Cause)
	default:
		s.mayHaveRun = true
		r.blame(now, u, e.Cause)
	}
	repeats := !s.mayHaveRun || s.Repeatable
	if e.Passed {
		repeats = e.Resumable
	}
	if !repeats {
		return r.giveUp(now, s, MayHaveRun, 0)
	}
	if e.Cause == NotConnected {
		return r.place(now, s)
	}
	effect, ok := r.again(now, s)
	if !ok {
		return r.giveUp(now, s, NoAttemptLeft, 0)
	}
	return effect
}

// again sends the request once more where attempts and the budget allow it.
func (r *Reducer) again(now time.Time, s *request) (Effect, bool) {
	if s.attempts >= s.MaximumAttempts || s.Deadline.Sub(now) < leastRemaining {
		return nil, false
	}
	policy := r.services[s.Service]
	best, forecast := r.choose(now, s, policy)
	if best == nil || s.tried[best.view.Upstream] {
		return nil, false
	}
	if !r.budget(s.Service).Take() {
		return nil, false
	}
	return r.send(now, s, best, forecast, policy), true
}

// leave takes the current attempt off its upstream.
func (r *Reducer) leave(s *request) {
	u := s.current
	u.inFlight--
	s.stopWaiting()
	if u.probing == s.ID {
		u.probing = ""
	}
}

// stopWaiting notes that the current attempt has begun, or is over.
func (s *request) stopWaiting() {
	if s.answered {
		return
	}
	s.answered = true
	s.current.waiting--
	if s.Returned {
		s.current.yielding--
	}
}
