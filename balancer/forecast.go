package balancer

import (
	"math"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

const (
	// plainWork is the time that a request of a service without an engine takes
	// until its own times are known.
	plainWork = 50 * time.Millisecond
	// otherRegion and otherZone are added to the forecast of an upstream elsewhere,
	// so that bytes cross links only where that gains the caller some time.
	otherRegion = 60 * time.Millisecond
	otherZone   = 30 * time.Millisecond
)

// forecast returns the time to the first byte that a request would get at the
// upstream, with what is there now.
func (r *Reducer) forecast(now time.Time, u *upstream, q *Request, engine *declarer.Engine, others float64) time.Duration {
	load := u.ahead(now, others, q.Returned)
	if engine == nil {
		return plainForecast(u, load)
	}
	doubt := 0.0
	if age := now.Sub(u.reportedAt); !u.reportedAt.IsZero() && age <= reportLifetime {
		doubt = doubtOf(u.reported.Running, age, serviceTime(engine, u.slots()))
	}
	unread := u.waiting
	if !q.Returned {
		unread -= u.yielding
	}
	return engineForecast(engine, load, u.slots(), doubt, float64(unread)*(1+others), q)
}

// doubtOf returns the standard deviation of an engine's load from its report: as many
// requests as end while the report grows older come, too, each at random times.
func doubtOf(running int, age, service time.Duration) float64 {
	if service <= 0 {
		return 0
	}
	return math.Sqrt(2 * float64(running) * age.Seconds() / service.Seconds())
}

// queueOf returns how many requests have to end before a new one begins, in the mean
// over what the load may be.
func queueOf(over, doubt float64) float64 {
	if doubt <= 0 {
		return max(0, over)
	}
	x := over / doubt
	density := math.Exp(-x*x/2) / math.Sqrt(2*math.Pi)
	below := math.Erfc(-x/math.Sqrt2) / 2
	return doubt*density + over*below
}

// others returns how many times as many requests as this entry all others have at
// the service. What was sent since the reports is in none of them, and one is added
// to the own ones, so that an entry with few doesn't take the others for many.
func (r *Reducer) others(service identifier.Service) float64 {
	own, all := 0, 0
	for _, u := range r.upstreams {
		if u.view.Service == service && !u.reportedAt.IsZero() {
			own += max(0, u.inFlight-u.sentSince(u.reportedAt))
			all += u.reported.Running + u.reported.Waiting
		}
	}
	if all <= own {
		return 0
	}
	return min(mostOthers, float64(all-own)/float64(own+1))
}

func plainForecast(u *upstream, load int) time.Duration {
	work := u.firstByte.Value()
	if work == 0 {
		work = plainWork
	}
	ahead := max(0, load+1-u.slots())
	return work + work*time.Duration(ahead)/time.Duration(u.slots())
}

// engineForecast adds up the wait for a slot, the pass that is under way, the
// reading of the prompts ahead and the own one, and the pass that makes the first
// event.
func engineForecast(e *declarer.Engine, load, slots int, doubt, unread float64, q *Request) time.Duration {
	prompt := q.PromptTokens
	if prompt == 0 {
		prompt = e.MeanPrompt
	}
	running := min(load, slots)
	pass := passTime(e, running+1)
	wait := time.Duration(queueOf(float64(load+1-slots), doubt) * float64(serviceTime(e, slots)) / float64(slots))
	return wait + pass/2 + readTime(e, prompt) + time.Duration(unread*float64(readTime(e, e.MeanPrompt))/2) + pass
}

// passTime is the time of one pass with n requests that write.
func passTime(e *declarer.Engine, n int) time.Duration {
	step := e.StepTime + time.Duration(n)*e.StepPerRequest
	context := float64(n) * float64(e.MeanPrompt+e.MeanAnswer/2) / 1000
	step += time.Duration(context * float64(e.StepPerThousandTokens))
	return step * time.Duration(max(1, e.StepsPerPass))
}

func readTime(e *declarer.Engine, prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	pairs := float64(prompt) * float64(prompt) / 2 / 1e6
	return time.Duration(float64(prompt)/e.ReadRate*float64(time.Second) + pairs*float64(e.PairsTime))
}

// writeTime is how long a usual answer takes to be written, without the reading of
// other prompts. It is 0 for a service without engines.
func writeTime(e *declarer.Engine) time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration(max(1, e.MeanAnswer/max(1, e.StepsPerPass))) * passTime(e, e.Slots/2)
}

// serviceTime is how long a usual request keeps its slot in a full engine: its
// passes, and the reading of the prompts that come meanwhile.
func serviceTime(e *declarer.Engine, slots int) time.Duration {
	passes := max(1, e.MeanAnswer/max(1, e.StepsPerPass))
	return time.Duration(passes)*passTime(e, slots) + time.Duration(slots)*readTime(e, e.MeanPrompt)
}
