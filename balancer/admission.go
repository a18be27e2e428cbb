package balancer

import (
	"time"

	"celeryvalve/declarer"
	"celeryvalve/quarantiner"
)

const (
	// overShareCut is what the gate of an organisation beyond its fair share is lowered
	// by. The others are then admitted while it is refused, until its share of the room
	// is left.
	overShareCut = 0.5
	// returnedCut is what the gate of requests that were refused before is lower than that
	// of others, while none of the reserved places is free. Their objective is missed, so
	// those that can still be in time go first.
	returnedCut = 0.65
	// returnedReserve is the part of the admitted requests for which those that were
	// refused before have the highest gate, and maxReserved how many such places are kept.
	returnedReserve = 1.0 / 16
	maxReserved     = 4
	// minGate is the lowest gate of a first attempt, whatever lowers it.
	minGate = 0.05
	// minWaitDivisor: a request may wait for its objective divided by it at least, if its
	// objective leaves less than that besides its own prompt.
	minWaitDivisor = 8
	// maxSessionRefusals is how often in a row an entry may refuse requests of one session
	// because of its organisation, its kind, or an earlier refusal.
	maxSessionRefusals = 4
)

// Class says why a request has its place in the order of admission.
type Class string

// The classes of requests.
const (
	// First: a first attempt of an organisation within its share.
	First Class = "First"
	// OverShare: a first attempt of an organisation that uses more than its share.
	OverShare Class = "OverShare"
	// Returned: the request was refused before, and its caller has sent it again.
	Returned Class = "Returned"
	// Reserved: a returned request in a place that is kept for such requests.
	Reserved Class = "Reserved"
	// Overdue: a request of a session that was refused several times in a row.
	Overdue Class = "Overdue"
)

// Admission is the decision whether a request is begun, and what it was based on.
type Admission struct {
	Class Class
	// Pressure is the best forecast of the wait as a part of the longest wait with which
	// the request is in time: 0 for an upstream without load, 1 if the objective is just
	// met.
	Pressure float64
	// Gate is the highest pressure at which the request is admitted.
	Gate float64
	// Threshold is the lowest gate that the measured part of late requests brings about.
	Threshold float64
	// Free says that half of the places are free and nothing waits, so that nothing is
	// refused.
	Free bool
	// Unfinishable says that the response could not be complete before the deadline.
	Unfinishable bool
}

// Admitted reports whether the request is begun.
func (a Admission) Admitted() bool {
	return !a.Unfinishable && (a.Free || a.Pressure <= a.Gate)
}

// admit decides whether a request with this best forecast is begun, and counts the
// decision for its organisation and its kind. A request that was admitted and reached no
// upstream is only measured once more.
func (r *Reducer) admit(now time.Time, s *request, best *upstream, forecast time.Duration) Admission {
	engine := r.services[s.Service].Engine
	a := Admission{
		Class:        First,
		Pressure:     pressure(forecast, idleForecast(engine, best, &s.Request), s.longestForecast()),
		Gate:         1,
		Unfinishable: forecast > s.Deadline.Sub(now)-decodeTime(engine),
	}
	if s.admitted {
		return a
	}
	d := r.demandOf(s.Service)
	d.advance(now)
	work := requestWork(engine, &s.Request)
	d.ask(&s.Request, work)
	a.Threshold = d.threshold()
	a.Class, a.Gate = d.gate(&s.Request, work)
	if !a.Unfinishable && a.Pressure > a.Gate {
		a.Free = r.hasFreeRoom(now, s)
	}
	s.admitted = a.Admitted()
	d.record(&s.Request, work, a)
	return a
}

// longestForecast returns the longest forecast with which the request is in time.
func (s *request) longestForecast() time.Duration {
	objective := s.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	margin := objectiveMargin
	if s.Resubmitted {
		margin = resubmittedMargin
	}
	return time.Duration(margin * float64(objective))
}

// pressure returns the part of the time that a request may wait that the forecast takes.
func pressure(forecast, idle, longest time.Duration) float64 {
	mayWait := max(longest-idle, longest/minWaitDivisor)
	return max(0, float64(forecast-idle)/float64(mayWait))
}

// idleForecast returns the forecast of the request at an upstream without load.
func idleForecast(engine *declarer.Engine, u *upstream, q *Request) time.Duration {
	if engine == nil {
		return plainForecast(u, 0)
	}
	prompt := q.PromptTokens
	if prompt == 0 {
		prompt = engine.MeanPrompt
	}
	return passTime(engine, 1)*3/2 + prefillTime(engine, prompt)
}

// requestWork returns how long the request keeps an engine busy, its part of the passes
// that it shares with others. All requests without an engine count alike.
func requestWork(engine *declarer.Engine, q *Request) time.Duration {
	if engine == nil {
		return defaultPlainDuration
	}
	prompt, answer := q.PromptTokens, q.AnswerTokens
	if prompt == 0 {
		prompt = engine.MeanPrompt
	}
	if answer == 0 {
		answer = engine.MeanAnswer
	}
	slots := max(1, engine.Slots)
	passes := max(1, answer/max(1, engine.StepsPerPass))
	return prefillTime(engine, prompt) + time.Duration(passes)*passTime(engine, slots)/time.Duration(slots)
}

// hasFreeRoom reports whether under half of the places of the upstreams that could run the
// request are taken and nothing waits there, as far as known.
func (r *Reducer) hasFreeRoom(now time.Time, s *request) bool {
	policy := r.services[s.Service]
	places, taken := 0, 0
	for _, u := range r.byService[s.Service] {
		if !r.eligible(now, s, u, policy) || !u.withinLimit(now) {
			continue
		}
		load, _ := u.load(now, 0)
		if load > u.slots() {
			return false
		}
		places += u.slots()
		taken += load
	}
	return 2*taken < places
}

// session returns the fingerprint of the session of the request, the last part of its
// prompt that other requests share, or 0.
func (q *Request) session() quarantiner.Fingerprint {
	if len(q.Parts) == 0 {
		return 0
	}
	return q.Parts[len(q.Parts)-1]
}
