package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

const (
	// returnTime is how long after its evacuation has ended a zone is preferred less, less and
	// less. Its upstreams are idle then, and would be the first choice of all entries. It is
	// as long as after a rest, and begins at another moment at each entry.
	returnTime     = recoveryTime
	maxReturnDelay = maxResumeDelay
	returnPenalty  = recoveryPenalty
	// defaultColdTime is used where Config.ColdReportTime is not set: twice the usual interval
	// of reports, with room for lost ones.
	defaultColdTime = 5 * time.Second
)

// zoneReturns holds when each zone that was evacuated takes requests of this entry again.
// Zones are dropped once that has no effect any more.
type zoneReturns map[identifier.AvailabilityZone]time.Time

// changeEvacuations takes in which zones are evacuated. Upstreams may have become cold shortly
// before their zone returns, so they count as cold until they have had the time to say whether
// they are.
func (r *Reducer) changeEvacuations(now time.Time, zones []identifier.AvailabilityZone) {
	evacuated := make(map[identifier.AvailabilityZone]bool, len(zones))
	for _, z := range zones {
		evacuated[z] = true
		delete(r.returns, z)
	}
	for z, at := range r.returns {
		if now.Sub(at) > max(returnTime, r.unknownColdTime()) {
			delete(r.returns, z)
		}
	}
	for z := range r.evacuated {
		if !evacuated[z] {
			r.returns[z] = now.Add(r.returnDelay(z))
		}
	}
	r.evacuated = evacuated
	views := make([]UpstreamView, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		views = append(views, u.view)
	}
	r.changeUpstreams(now, views)
}

// returnDelay returns how long after the end of an evacuation this entry sends requests to the
// zone again.
func (r *Reducer) returnDelay(zone identifier.AvailabilityZone) time.Duration {
	return time.Duration(xxhash.Sum64String(string(r.cfg.Entry)+"\x00"+string(zone)) % uint64(maxReturnDelay))
}

func (r *Reducer) unknownColdTime() time.Duration {
	if r.cfg.ColdReportTime > 0 {
		return r.cfg.ColdReportTime
	}
	return defaultColdTime
}

// assumeCold returns the view with an upstream in a zone that has just returned taken as cold.
// It does not change the time of one that says that it is cold for longer.
func (r *Reducer) assumeCold(v UpstreamView) UpstreamView {
	at, ok := r.returns[v.AvailabilityZone]
	if until := at.Add(r.unknownColdTime()); ok && until.After(v.ColdUntil) {
		v.ColdUntil = until
	}
	return v
}

// evacuates reports whether the upstream gets no requests because its zone is evacuated.
func (r *Reducer) evacuates(now time.Time, u *upstream) bool {
	return r.evacuated[u.view.AvailabilityZone] || now.Before(r.returns[u.view.AvailabilityZone])
}

// returnPenalty is added to the forecast of an upstream whose zone has lately returned.
func (r *Reducer) returnPenalty(now time.Time, u *upstream) time.Duration {
	at, ok := r.returns[u.view.AvailabilityZone]
	if !ok {
		return 0
	}
	left := returnTime - now.Sub(at)
	return time.Duration(float64(returnPenalty) * max(0, left.Seconds()/returnTime.Seconds()))
}

// isEvacuated reports whether all upstreams that could serve the request are in evacuated
// zones.
func (r *Reducer) isEvacuated(now time.Time, s *request) bool {
	evacuated := false
	for _, u := range r.byService[s.Service] {
		if u.draining() || !s.mayBeServedAt(u) {
			continue
		}
		if !r.evacuates(now, u) {
			return false
		}
		evacuated = true
	}
	return evacuated
}
