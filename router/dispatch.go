package router

import (
	"fmt"
	"slices"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

const (
	choices         = 2
	otherZoneFactor = 1.1
	// Links between regions have little bandwidth, so an upstream in another region
	// must be much cheaper to be chosen.
	otherRegionFactor = 4
	// maxAffinityLoad is the utilisation, as a multiple of the candidates' mean, beyond
	// which the holder of a prompt's beginning is not preferred.
	maxAffinityLoad = 1.25
	// affinityCostFactor is the share of the cost that a prompt saves which the upstream
	// holds completely. The engines have no declared model here.
	affinityCostFactor = 0.5
)

func (r *Reducer) dispatchAll() {
	names := make([]identifier.Service, 0, len(r.services))
	for name := range r.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r.dispatch(r.services[name])
	}
}

// dispatch starts queued requests while an upstream has room for them.
func (r *Reducer) dispatch(s *service) {
	defer func() { s.updateBacklog(r.now) }()
	for s.queue.Len() > 0 {
		usable := r.usableOf(s)
		available := r.withRoom(usable)
		if len(available) == 0 {
			return
		}
		item, ok := s.queue.PopWhere(func(id identifier.RequestID) bool {
			q := r.requests[id]
			return q == nil || len(r.eligible(s, q, available, countStable(usable, r.now))) > 0
		})
		if !ok {
			return
		}
		q := r.requests[item.Value]
		if q == nil {
			continue
		}
		q.item = item
		if r.now.Add(s.duration.Low()).After(q.Deadline) {
			r.giveUp(q, DeadlineExceeded, r.retryAfter(s))
			continue
		}
		s.recordStart(r.now, q.Organisation)
		r.assign(s, q, r.choose(s, q, r.eligible(s, q, available, countStable(usable, r.now))))
	}
}

func (r *Reducer) withRoom(usable []*upstream) []*upstream {
	var list []*upstream
	for _, u := range usable {
		if u.hasRoom(r.now) {
			list = append(list, u)
		}
	}
	return list
}

// eligible returns the available upstreams that may run the request. It leaves out
// those on which an earlier attempt failed. A suspect of the quarantine gets none
// while the service, if it ever had more than one upstream, has fewer than two
// stable ones: should the suspect crash one, another must remain. Upstreams with
// the wanted version take precedence over those with another version.
func (r *Reducer) eligible(s *service, q *request, available []*upstream, stable int) []*upstream {
	if r.quarantine.suspects(q.Fingerprint) && s.peak > 1 && stable < 2 {
		return nil
	}
	var current, former []*upstream
	for _, u := range available {
		switch {
		case q.avoid[u.view.Upstream]:
		case u.isCurrent(s.policy):
			current = append(current, u)
		default:
			former = append(former, u)
		}
	}
	if len(current) > 0 {
		return current
	}
	return former
}

// choose returns the cheapest among a random sample of the candidates, a random
// sample of those in the entry's own region, and the candidate returned by
// prefixHolder.
func (r *Reducer) choose(s *service, q *request, candidates []*upstream) *upstream {
	cost := func(u *upstream) float64 { return r.costOf(s, q, u) }
	best, _ := limiter.Choose(q.nextRandom(), candidates, choices, cost)
	near, ok := limiter.Choose(q.nextRandom(), r.inOwnRegion(candidates), choices, cost)
	if ok && cost(near) < cost(best) {
		best = near
	}
	if u := r.prefixHolder(q, candidates); u != nil && cost(u) < cost(best) {
		return u
	}
	return best
}

func (r *Reducer) inOwnRegion(candidates []*upstream) []*upstream {
	var near []*upstream
	for _, u := range candidates {
		if u.view.Region == r.cfg.Region {
			near = append(near, u)
		}
	}
	return near
}

// prefixHolder returns the candidate whose cache holds the largest share of the
// request's prefixes, or nil if its utilisation is clearly above the mean of the
// candidates.
func (r *Reducer) prefixHolder(q *request, candidates []*upstream) *upstream {
	var best *upstream
	bestMatch, total := 0.0, 0.0
	for _, u := range candidates {
		total += r.utilisation(u)
		if m := q.heldShare(u); m > bestMatch {
			best, bestMatch = u, m
		}
	}
	if best == nil || r.utilisation(best) > maxAffinityLoad*total/float64(len(candidates))+1/float64(best.limit()) {
		return nil
	}
	return best
}

func (r *Reducer) utilisation(u *upstream) float64 {
	return u.occupancy(r.now) / float64(u.limit())
}

func (r *Reducer) costOf(s *service, q *request, u *upstream) float64 {
	utilisation := (u.occupancy(r.now) + 1) / float64(u.limit())
	cost := utilisation * u.expectedLatency(r.now, s.latency.Value()).Seconds()
	switch {
	case u.view.Region != r.cfg.Region:
		cost *= otherRegionFactor
	case u.view.AvailabilityZone != r.cfg.AvailabilityZone:
		cost *= otherZoneFactor
	}
	return cost * (1 - affinityCostFactor*q.heldShare(u))
}

// assign creates an attempt of the request on the upstream. A non-idempotent
// request is claimed before it starts.
func (r *Reducer) assign(s *service, q *request, u *upstream) {
	q.attempt = &attempt{
		id:      q.nextAttemptID(),
		holder:  q.ID,
		target:  targetOf(u),
		counted: true,
	}
	u.start(q.ID, r.now)
	q.since = r.now
	if q.Class == NonIdempotent {
		q.phase = claiming
		r.claim(q)
		return
	}
	r.start(s, q)
}

// start hands the request over to the agent of its attempt. If that upstream no
// longer takes work, the request is queued again.
func (r *Reducer) start(s *service, q *request) {
	a := q.attempt
	u := r.upstreams[a.target.Upstream]
	if u == nil || !u.open(r.now) || u.view.Incarnation != a.target.Incarnation {
		q.token = a.token
		r.requeue(q)
		return
	}
	once := q.Class == Idempotent || (a.token != 0 && !q.mayHaveRun)
	if !r.check.Check(asserter.AtMostOnce, once, fmt.Sprintf("request %s would start again", q.ID)) {
		r.finish(q, Unknown, UpstreamLost, 0)
		return
	}
	q.phase = attempting
	q.token = 0
	q.sends++
	if q.sends == 1 {
		s.budget.RecordSend()
	}
	a.handedOver = true
	a.alone = r.quarantine.suspects(q.Fingerprint)
	a.startedAt = r.now
	a.lastProgress = r.now
	u.start(q.ID, r.now)
	r.emit(StartAttempt{
		Request:  q.ID,
		Attempt:  a.id,
		Target:   a.target,
		Token:    a.token,
		Timeout:  q.Deadline.Sub(r.now),
		Priority: r.organisations[q.Organisation].Priority,
		Weight:   r.weightOf(q.Organisation),
		Alone:    a.alone,
	})
}

func targetOf(u *upstream) Target {
	return Target{Upstream: u.view.Upstream, Incarnation: u.view.Incarnation, Address: u.view.Address}
}
