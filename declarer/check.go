package declarer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Check returns every fault of the declaration as one error, or nil.
func (d Declaration) Check() error {
	var faults explainer.Faults
	add := func(path, problem, remedy string) {
		faults.Add(explainer.Fault{Path: path, Problem: problem, Remedy: remedy})
	}
	if d.Version == 0 {
		add("Version", "the version is 0", "number versions from 1 up")
	}
	places := make(map[place]identifier.Route)
	for _, name := range slices.Sorted(maps.Keys(d.Routes)) {
		r := d.Routes[name]
		d.checkRoute("Routes."+string(name), r, add)
		at := place{strings.ToLower(r.Host), r.Prefix}
		if other, ok := places[at]; ok {
			add("Routes."+string(name), fmt.Sprintf("host and prefix are those of route %q too", other), "change one of them")
		}
		places[at] = name
	}
	owners := make(map[identifier.Digest]identifier.Organisation)
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		for _, key := range d.Organisations[name].Keys {
			if other, ok := owners[key]; ok && other != name {
				add("Organisations."+string(name), fmt.Sprintf("a key belongs to %q too", other), "give each key to one organisation")
			}
			owners[key] = name
		}
	}
	return faults.Err()
}

func (d Declaration) checkRoute(path string, r Route, add func(path, problem, remedy string)) {
	if r.Timeout <= 0 {
		add(path, "the timeout is 0", "set a timeout above 0")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add(path, fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix), "write a prefix such as /drafts/")
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		add(path, fmt.Sprintf("kind %q is not known", r.Kind), "name a known kind")
	}
	total := 0
	for _, t := range r.Targets {
		if _, ok := d.Services[t.Service]; !ok {
			add(path, fmt.Sprintf("service %q does not exist", t.Service), "declare the service or name another")
		}
		if t.Weight < 0 {
			add(path, "a weight is negative", "set weights of 0 or more")
		}
		total += t.Weight
	}
	if total <= 0 {
		add(path, "the weights add up to 0", "give one target a weight above 0")
	}
}
