package balancer

import (
	"time"

	"celeryvalve/identifier"
)

const (
	// trustRetention is what is kept of earlier comparisons at each new one, some hundred of
	// which count.
	trustRetention = 0.99
	// priorVariance is the weight, as a variance of loads, of the assumption that reports hold.
	priorVariance = 10.0
	// meanLoadWeight is the weight of a report in the mean load of its upstream: some seven
	// count, about as many as come while a request runs.
	meanLoadWeight = 0.15
)

// trust is how far the reports of agents on one service can be trusted: which part of the
// distance between an upstream's report and its mean is still there when it answers. Reports
// are old, and all entries send to the upstreams that look empty, so that these may be the
// fullest by then.
type trust struct{ products, squares float64 }

// factor returns the part of a distance from the mean that is to be expected still, from 0 to 1.
func (t *trust) factor() float64 {
	return min(1, max(0, (t.products+priorVariance)/(t.squares+priorVariance)))
}

// compare takes in that an upstream whose load is mean on average had another one than expected.
func (t *trust) compare(mean, expected, found float64) {
	t.products = trustRetention*t.products + (expected-mean)*(found-mean)
	t.squares = trustRetention*t.squares + (expected-mean)*(expected-mean)
}

// expect returns the load to be expected where reports say so much.
func (t *trust) expect(mean, load float64) float64 {
	return mean + t.factor()*(load-mean)
}

func (r *Reducer) trustOf(service identifier.Service) *trust {
	t, ok := r.trusts[service]
	if !ok {
		t = &trust{}
		r.trusts[service] = t
	}
	return t
}

// observeAnswer takes in the load that an upstream states in an answer, and compares it with
// what was expected by the agent's last report.
func (r *Reducer) observeAnswer(now time.Time, u *upstream, load *Load) {
	if load != nil && u.reportedByAgent && u.attendant != "" && now.Sub(u.reportedAt) <= reportLifetime {
		expected, _ := u.load(now, u.othersRatio(r.othersRatio(u.view.Service)))
		r.trustOf(u.view.Service).compare(u.meanLoad, float64(expected), float64(load.Running+load.Waiting))
	}
	u.observe(now, load, 0)
}

// observeReport takes in what an agent reports.
func (u *upstream) observeReport(now time.Time, load Load) {
	found := float64(load.Running + load.Waiting)
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > reportLifetime {
		u.meanLoad = found
	}
	u.meanLoad += meanLoadWeight * (found - u.meanLoad)
	u.observe(now, &load, agentReportAge)
	u.heardAt = now
}
