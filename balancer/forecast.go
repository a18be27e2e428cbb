package balancer

import (
	"math"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

const (
	// defaultPlainDuration is the time that a request of a service without an
	// engine is assumed to take until response times are known.
	defaultPlainDuration = 50 * time.Millisecond
	// otherRegionPenalty and otherZonePenalty are added to the forecast of an
	// upstream in another region or zone, so that bytes cross links only where that
	// gains the caller some time.
	otherRegionPenalty = 60 * time.Millisecond
	otherZonePenalty   = 30 * time.Millisecond
)

// forecast returns the expected time to the first byte of a request at the
// upstream, given the load there now.
func (r *Reducer) forecast(now time.Time, u *upstream, q *Request, engine *declarer.Engine, othersRatio float64) time.Duration {
	load := u.requestsAhead(now, othersRatio, q.Resubmitted)
	if engine == nil {
		return plainForecast(u, load)
	}
	expected := float64(load)
	if u.reportedByAgent && u.attendant != "" {
		expected = r.trustOf(q.Service).expect(u.meanLoad, expected)
	}
	deviation := 0.0
	if age := now.Sub(u.reportedAt); !u.reportedAt.IsZero() && age <= reportLifetime {
		deviation = loadDeviation(u.reported.Running, age, serviceTime(engine, u.slots()))
	}
	prefills := u.waiting
	if !q.Resubmitted {
		prefills -= u.waitingResubmitted
	}
	forecast := engineForecast(engine, expected, u.slots(), deviation, float64(prefills)*(1+othersRatio), q)
	return max(0, forecast-u.savedReading(q, engine)) + r.biasOf(q.Service, u).at(now)
}

// loadDeviation returns the standard deviation of an engine's load from its report.
// While the report ages, about as many requests arrive as end, both at random
// times.
func loadDeviation(running int, age, service time.Duration) float64 {
	if service <= 0 {
		return 0
	}
	return math.Sqrt(2 * float64(running) * age.Seconds() / service.Seconds())
}

// expectedQueue returns the mean number of requests that have to end before a new
// one begins. The number by which the load exceeds the slots is normally
// distributed, with the mean excess and the given standard deviation.
func expectedQueue(excess, deviation float64) float64 {
	if deviation <= 0 {
		return max(0, excess)
	}
	x := excess / deviation
	density := math.Exp(-x*x/2) / math.Sqrt(2*math.Pi)
	probability := math.Erfc(-x/math.Sqrt2) / 2
	return deviation*density + excess*probability
}

// othersRatio returns how many requests all other entries have at the service for
// each request of this entry, at most maxOthersRatio. Requests sent since the
// reports are not counted, as no report contains them. One is added to the entry's
// own requests, so that an entry with few of them doesn't overestimate the others. What still
// runs in evacuated zones says nothing of where requests go now.
func (r *Reducer) othersRatio(service identifier.Service) float64 {
	own, all := 0, 0
	for _, u := range r.byService[service] {
		if !u.reportedAt.IsZero() && !r.evacuated[u.view.AvailabilityZone] {
			own += max(0, u.inFlight-u.sentSince(u.reportedAt))
			all += u.reported.Running + u.reported.Waiting
		}
	}
	return ratioOfOthers(own, all)
}

// ratioOfOthers returns how many of all requests are other entries' for each one of this entry.
func ratioOfOthers(own, all int) float64 {
	return min(maxOthersRatio, float64(max(0, all-own))/float64(own+1))
}

func plainForecast(u *upstream, load int) time.Duration {
	duration := u.firstByte.Value()
	if duration == 0 {
		duration = defaultPlainDuration
	}
	ahead := max(0, load+1-u.slots())
	return duration + duration*time.Duration(ahead)/time.Duration(u.slots())
}

// engineForecast adds up the wait for a slot, the rest of the current pass, the
// prefill of the prompts ahead and of the request's own, and the pass that produces
// the first event.
func engineForecast(e *declarer.Engine, load float64, slots int, deviation, prefills float64, q *Request) time.Duration {
	prompt := q.PromptTokens
	if prompt == 0 {
		prompt = e.MeanPrompt
	}
	running := min(int(load), slots)
	pass := passTime(e, running+1)
	wait := time.Duration(expectedQueue(load+1-float64(slots), deviation) * float64(serviceTime(e, slots)) / float64(slots))
	return wait + pass/2 + prefillTime(e, prompt) + time.Duration(prefills*float64(prefillTime(e, e.MeanPrompt))/2) + pass
}

// passTime returns the duration of one pass in which n requests decode.
func passTime(e *declarer.Engine, n int) time.Duration {
	step := e.StepTime + time.Duration(n)*e.StepPerRequest
	thousandTokens := float64(n) * float64(e.MeanPrompt+e.MeanAnswer/2) / 1000
	step += time.Duration(thousandTokens * float64(e.StepPerThousandTokens))
	return step * time.Duration(max(1, e.StepsPerPass))
}

// prefillTime returns how long an engine takes to prefill a prompt of that many
// tokens. The part for token pairs grows with the square of the length.
func prefillTime(e *declarer.Engine, prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	millionPairs := float64(prompt) * float64(prompt) / 2 / 1e6
	return time.Duration(float64(prompt)/e.ReadRate*float64(time.Second) + millionPairs*float64(e.PairsTime))
}

// decodeTime returns how long a response of mean length takes to decode, without
// the prefill of other prompts. It is 0 for a service without engines.
func decodeTime(e *declarer.Engine) time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration(passesPerAnswer(e)) * passTime(e, e.Slots/2)
}

// passesPerAnswer returns how many passes a response of mean length takes.
func passesPerAnswer(e *declarer.Engine) int {
	return max(1, e.MeanAnswer/max(1, e.StepsPerPass))
}

// serviceTime returns how long a request of mean size occupies its slot in a full
// engine: its passes, and the prefill of the prompts that arrive meanwhile.
func serviceTime(e *declarer.Engine, slots int) time.Duration {
	return time.Duration(passesPerAnswer(e))*passTime(e, slots) + time.Duration(slots)*prefillTime(e, e.MeanPrompt)
}
