package declarer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Check validates the declaration. It returns all faults as one error, or nil.
func (d Declaration) Check() error {
	var faults explainer.Faults
	addFault := func(path, problem, remedy string) {
		faults.Add(explainer.Fault{Path: path, Problem: problem, Remedy: remedy})
	}
	if d.Version == 0 {
		addFault("Version", "the version is 0", "set a version of 1 or more")
	}
	routes := make(map[routeKey]identifier.Route)
	for _, name := range slices.Sorted(maps.Keys(d.Routes)) {
		r := d.Routes[name]
		d.checkRoute("Routes."+string(name), r, addFault)
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		if other, ok := routes[key]; ok {
			addFault("Routes."+string(name), fmt.Sprintf("host and prefix are the same as those of route %q", other), "change the host or prefix of one of them")
		}
		routes[key] = name
	}
	owners := make(map[identifier.Digest]identifier.Organisation)
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		for _, key := range d.Organisations[name].Keys {
			if other, ok := owners[key]; ok && other != name {
				addFault("Organisations."+string(name), fmt.Sprintf("a key also belongs to organisation %q", other), "assign each key to one organisation only")
			}
			owners[key] = name
		}
	}
	return faults.Err()
}

func (d Declaration) checkRoute(path string, r Route, addFault func(path, problem, remedy string)) {
	if r.Timeout <= 0 {
		addFault(path, "the timeout is not above 0", "set a timeout above 0")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addFault(path, fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix), "set a prefix such as /drafts/")
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		addFault(path, fmt.Sprintf("kind %q is not known", r.Kind), "set a known kind of request")
	}
	total := 0
	for _, t := range r.Targets {
		if _, ok := d.Services[t.Service]; !ok {
			addFault(path, fmt.Sprintf("service %q does not exist", t.Service), "declare the service or name another")
		}
		if t.Weight < 0 {
			addFault(path, "a weight is negative", "set weights of 0 or more")
		}
		total += t.Weight
	}
	if total <= 0 {
		addFault(path, "the weights add up to 0", "set a weight above 0 for at least one target")
	}
}
