package relayer

import (
	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// updateHomes passes on the homes of the request if a newer declaration has changed them
// since it arrived, before it is decided whether it is sent anywhere else. A route or an
// organisation that is no longer declared leaves its homes behind.
func (x *exchange) updateHomes() {
	index := x.relayer.index.Load()
	if index == x.index {
		return
	}
	x.index = index
	if route, ok := index.Declaration.Routes[x.routeName]; ok {
		x.request.RouteHomes = route.Homes
	}
	if organisation, ok := index.Declaration.Organisations[x.organisation]; ok {
		x.request.OrganisationHomes = organisation.Homes
	}
	x.relayer.reduce(balancer.HomesChanged{
		Request:           x.request.ID,
		RouteHomes:        x.request.RouteHomes,
		OrganisationHomes: x.request.OrganisationHomes,
	})
}

// homesFields names the homes of the request in its log lines.
func (x *exchange) homesFields() []zap.Field {
	return []zap.Field{zap.Any("routeHomes", x.request.RouteHomes), zap.Any("organisationHomes", x.request.OrganisationHomes)}
}
