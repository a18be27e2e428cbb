package balancer

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// Explanation says what would happen to a request if it arrived now, and why.
type Explanation struct {
	// Admitted says that the request would be sent to Choice.
	Admitted bool
	Choice   identifier.Upstream
	// Reason and RetryAfter are those of the refusal.
	Reason     Reason
	RetryAfter time.Duration
	// Forecast is the expected time to the first byte at the choice, or the best one of a
	// request that is refused for it.
	Forecast time.Duration
	// Admission is the decision whether the request is begun, if it came to that.
	Admission Admission
	// Candidates are all upstreams of the service, sorted by name.
	Candidates []Candidate
}

// Candidate is one upstream as the choice sees it.
type Candidate struct {
	Upstream         identifier.Upstream
	AvailabilityZone identifier.AvailabilityZone
	Region           identifier.Region
	// PassedOver is why the upstream is not the choice, or empty.
	PassedOver PassReason
	// Load is how many requests it is assumed to have of its Slots, and InFlight how many
	// of them are this entry's. LoadAge is the age of the report behind the load.
	Load     int
	InFlight int
	Slots    int
	LoadAge  time.Duration
	// Forecast is the expected time to the first byte. Penalty is what is added to it for
	// slowness, distance, failures, and a rest or an evacuation that is over.
	Forecast time.Duration
	Penalty  time.Duration
	// HeldTokens is how many tokens of the prompt's beginning it holds, as far as known.
	HeldTokens int
}

// PassReason says why an upstream is not chosen.
type PassReason string

// The reasons to pass over an upstream.
const (
	PassedNoHome     PassReason = "NoHome"
	PassedEvacuated  PassReason = "Evacuated"
	PassedDraining   PassReason = "Draining"
	PassedResting    PassReason = "Resting"
	PassedEjected    PassReason = "Ejected"
	PassedOldRelease PassReason = "OldRelease"
	// PassedIneligible: another condition excludes the upstream.
	PassedIneligible PassReason = "Ineligible"
	PassedLimited    PassReason = "Limited"
	PassedCold       PassReason = "Cold"
	// PassedUnsampled: the upstream is not in the random sample for the request.
	PassedUnsampled PassReason = "NotSampled"
	// PassedDearer: the choice has a lower cost, up to the random part of 15 ms.
	PassedDearer PassReason = "Dearer"
	// PassedRefused: the request is refused before or after upstreams are compared.
	PassedRefused PassReason = "RequestRefused"
)

// Explain says what Reduce would do with the request if it arrived now. It takes the same
// decision and carries nothing out: no allowance is drawn from, and no state changes but
// what follows from the time alone, as at any request.
func (r *Reducer) Explain(now time.Time, q Request) Explanation {
	policy := r.services[q.Service]
	s := &request{Request: q, tried: make(map[identifier.Upstream]bool)}
	s.chainPrompt(policy)
	x := Explanation{}
	if d, ok := r.demands[q.Service]; ok {
		r.demands[q.Service] = d.clone()
		defer func() { r.demands[q.Service] = d }()
	} else {
		defer delete(r.demands, q.Service)
	}
	// The choice forgets old estimates of upstreams within their limits.
	estimates := make(map[*upstream]*limiter.Mean, len(r.byService[q.Service]))
	for _, u := range r.byService[q.Service] {
		estimates[u] = u.firstByte
	}
	var sampled map[*upstream]bool
	refusal, refused := r.refusedUnseen(now, &q)
	if !refused {
		d := r.decide(now, s)
		sampled = make(map[*upstream]bool)
		for _, u := range r.sampleCandidates(now, s, policy) {
			sampled[u] = true
		}
		if d.reason == "" {
			x.Admitted, x.Choice, x.Forecast = true, d.target.view.Upstream, d.forecast
		} else {
			refusal = r.refusal(now, s, d.reason, d.forecast)
		}
	}
	x.Admission = s.admission
	x.Reason, x.RetryAfter = refusal.Reason, refusal.RetryAfter
	if !x.Admitted {
		x.Forecast = refusal.Forecast
	}
	for _, u := range r.byService[q.Service] {
		x.Candidates = append(x.Candidates, r.explainCandidate(now, s, u, policy, sampled[u], x))
		u.firstByte = estimates[u]
	}
	return x
}

func (r *Reducer) explainCandidate(now time.Time, s *request, u *upstream, policy ServicePolicy, sampled bool, x Explanation) Candidate {
	othersRatio := u.othersRatio(r.othersRatio(s.Service))
	load, age := u.load(now, othersRatio)
	c := Candidate{
		Upstream:         u.view.Upstream,
		AvailabilityZone: u.view.AvailabilityZone,
		Region:           u.view.Region,
		Load:             load,
		InFlight:         u.inFlight,
		Slots:            u.slots(),
		LoadAge:          age,
		Forecast:         r.forecast(now, u, &s.Request, policy.Engine, othersRatio),
	}
	c.Penalty = r.penalty(now, u, c.Forecast, r.failedShares(now, s.Service))
	if u.prefixes != nil {
		c.HeldTokens = u.prefixes.Held(s.beginning)
	}
	c.PassedOver = r.passedOver(now, s, u, policy, sampled, x)
	return c
}

func (r *Reducer) passedOver(now time.Time, s *request, u *upstream, policy ServicePolicy, sampled bool, x Explanation) PassReason {
	if !r.eligible(now, s, u, policy) {
		switch {
		case !s.mayBeServedAt(u):
			return PassedNoHome
		case r.evacuates(now, u):
			return PassedEvacuated
		case u.draining():
			return PassedDraining
		case u.resting(now):
			return PassedResting
		case !u.usable(now):
			return PassedEjected
		case s.Generates && policy.Engine != nil && u.view.Release < r.minRelease(now, policy):
			return PassedOldRelease
		default:
			return PassedIneligible
		}
	}
	switch {
	case !u.withinLimit(now) && u.cold.bound:
		return PassedCold
	case !u.withinLimit(now):
		return PassedLimited
	case x.Admitted && u.view.Upstream == x.Choice:
		return ""
	case !x.Admitted:
		return PassedRefused
	case !sampled:
		return PassedUnsampled
	default:
		return PassedDearer
	}
}
