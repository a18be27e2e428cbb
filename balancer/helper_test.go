package balancer_test

import (
	"net/netip"
	"time"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

var start = time.Unix(1_700_000_000, 0)

// engine returns the model of the engines in the two deployments.
func engine() *declarer.Engine {
	return &declarer.Engine{
		Slots:                 16,
		TokenCapacity:         317_000,
		StepTime:              9270 * time.Microsecond,
		StepPerRequest:        23 * time.Microsecond,
		StepPerThousandTokens: 32 * time.Microsecond,
		ReadRate:              20_700,
		PairsTime:             1180 * time.Microsecond,
		ReadChunk:             2048,
		StepsPerPass:          5,
		MeanPrompt:            979,
		MeanAnswer:            92,
	}
}

func upstream(name identifier.Upstream, service identifier.Service) balancer.UpstreamView {
	return balancer.UpstreamView{
		Upstream: name,
		Service:  service,
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 8080),
		Slots:    16,
		Release:  1,
	}
}

func generationRequest(id identifier.RequestID) balancer.Request {
	return balancer.Request{
		ID:              id,
		Service:         "drafting",
		Repeatable:      true,
		Generates:       true,
		PromptTokens:    1000,
		Objective:       500 * time.Millisecond,
		MaximumAttempts: 2,
		Random:          uint64(id[0]),
	}
}

// arrive submits a request whose caller waits for six seconds.
func arrive(r *balancer.Reducer, now time.Time, q balancer.Request) balancer.Effect {
	q.Deadline = now.Add(6 * time.Second)
	return r.Reduce(now, balancer.RequestArrived{Request: q})
}

func requestID(text string) identifier.RequestID { return identifier.RequestID(text) }

func upstreamName(text string) identifier.Upstream { return identifier.Upstream(text) }

// timeline runs functions at set times. All delays are rounded to its step.
type timeline struct {
	now   time.Time
	step  time.Duration
	later map[time.Time][]func()
}

func newTimeline(step time.Duration) *timeline {
	return &timeline{now: start, step: step, later: make(map[time.Time][]func())}
}

// after runs f after the delay, which is one step at least.
func (l *timeline) after(delay time.Duration, f func()) {
	at := l.now.Add(max(l.step, delay.Round(l.step)))
	l.later[at] = append(l.later[at], f)
}

// advance moves on by one step and runs what is due.
func (l *timeline) advance() {
	l.now = l.now.Add(l.step)
	due := l.later[l.now]
	delete(l.later, l.now)
	for _, f := range due {
		f()
	}
}
