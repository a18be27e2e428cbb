package balancer

// Restricted reports whether the request has homes.
func (q *Request) Restricted() bool {
	return len(q.RouteHomes) > 0 || len(q.OrganisationHomes) > 0
}

// mayBeServedAt reports whether the upstream is in a home of the request. The homes of
// the route and of the organisation both bind.
func (q *Request) mayBeServedAt(u *upstream) bool {
	return q.RouteHomes.Allows(u.view.Region) && q.OrganisationHomes.Allows(u.view.Region)
}

// homeless reports whether the service has upstreams, but none in the request's homes.
func (r *Reducer) homeless(q *Request) bool {
	known := r.byService[q.Service]
	for _, u := range known {
		if q.mayBeServedAt(u) {
			return false
		}
	}
	return len(known) > 0
}

// changeHomes takes in the homes that were declared while the request was in flight. Its
// further attempts keep to them.
func (r *Reducer) changeHomes(e HomesChanged) {
	if s, ok := r.requests[e.Request]; ok {
		s.RouteHomes, s.OrganisationHomes = e.RouteHomes, e.OrganisationHomes
	}
}
