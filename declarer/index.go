package declarer

import (
	"strings"

	"celeryvalve/identifier"
)

// Index finds routes and organisations of one declaration. It is immutable.
type Index struct {
	Declaration Declaration
	routes      map[place]identifier.Route
	keys        map[identifier.Digest]identifier.Organisation
}

// place is what no two routes share.
type place struct {
	host, prefix string
}

// NewIndex returns the index of a declaration that was checked.
func NewIndex(d Declaration) *Index {
	x := &Index{
		Declaration: d,
		routes:      make(map[place]identifier.Route, len(d.Routes)),
		keys:        make(map[identifier.Digest]identifier.Organisation),
	}
	for name, r := range d.Routes {
		x.routes[place{strings.ToLower(r.Host), r.Prefix}] = name
	}
	for name, o := range d.Organisations {
		for _, key := range o.Keys {
			x.keys[key] = name
		}
	}
	return x
}

// Find returns the route of the host with the longest prefix that begins the path.
func (x *Index) Find(host, path string) (identifier.Route, Route, bool) {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if name, ok := x.routes[place{host, path[:slash+1]}]; ok {
			return name, x.Declaration.Routes[name], true
		}
		end = slash
	}
	return "", Route{}, false
}

// Organisation returns who holds the key.
func (x *Index) Organisation(key string) (identifier.Organisation, bool) {
	name, ok := x.keys[identifier.DigestOf([]byte(key))]
	return name, ok
}

// Target returns the service of the route that the random number falls on.
func (r Route) Target(random uint64) identifier.Service {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int(random % uint64(total))
	for _, t := range r.Targets {
		if at < max(0, t.Weight) {
			return t.Service
		}
		at -= max(0, t.Weight)
	}
	return ""
}
