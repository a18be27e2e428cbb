package declarer

import (
	"strings"

	"celeryvalve/identifier"
)

// Index looks up the routes and organisations of one declaration. It is immutable.
type Index struct {
	Declaration Declaration
	routes      map[routeKey]identifier.Route
	keys        map[identifier.Digest]identifier.Organisation
}

// routeKey is the key under which a route is looked up. It is unique among the
// routes of a declaration. The host is in lower case.
type routeKey struct {
	host, prefix string
}

// NewIndex returns the index of a declaration that passed Check.
func NewIndex(d Declaration) *Index {
	x := &Index{
		Declaration: d,
		routes:      make(map[routeKey]identifier.Route, len(d.Routes)),
		keys:        make(map[identifier.Digest]identifier.Organisation),
	}
	for name, r := range d.Routes {
		x.routes[routeKey{strings.ToLower(r.Host), r.Prefix}] = name
	}
	for name, o := range d.Organisations {
		for _, key := range o.Keys {
			x.keys[key] = name
		}
	}
	return x
}

// FindRoute returns the route of the host whose prefix is the longest that the path
// starts with, or false if there is none.
func (x *Index) FindRoute(host, path string) (identifier.Route, Route, bool) {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if name, ok := x.routes[routeKey{host, path[:slash+1]}]; ok {
			return name, x.Declaration.Routes[name], true
		}
		end = slash
	}
	return "", Route{}, false
}

// FindOrganisation returns the organisation that the key belongs to, or false if there
// is none.
func (x *Index) FindOrganisation(key string) (identifier.Organisation, bool) {
	name, ok := x.keys[identifier.DigestOf([]byte(key))]
	return name, ok
}

// PickTarget picks a service of the route by a random number, in proportion to the
// targets' weights. It returns an empty name if the weights add up to 0.
func (r Route) PickTarget(random uint64) identifier.Service {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	offset := int(random % uint64(total))
	for _, t := range r.Targets {
		if offset < max(0, t.Weight) {
			return t.Service
		}
		offset -= max(0, t.Weight)
	}
	return ""
}
