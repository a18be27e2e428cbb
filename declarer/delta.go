package declarer

import (
	"maps"
	"reflect"
	"slices"

	"celeryvalve/identifier"
)

// Delta leads from one declaration to a newer one.
type Delta struct {
	// Base is the version that the delta starts from. It doesn't matter for a
	// Whole one.
	Base  identifier.ConfigurationVersion
	Whole bool
	// Changed holds the new version and limits, and the objects that were added
	// or changed.
	Changed              Declaration
	RemovedRoutes        []identifier.Route
	RemovedServices      []identifier.Service
	RemovedOrganisations []identifier.Organisation
}

// ForWeights returns what concerns the weights of engines alone: an agent needs no
// routes and no keys.
func (d Declaration) ForWeights() Declaration {
	return Declaration{Version: d.Version, Services: d.Services}
}

// Since returns what leads from the older declaration to d.
func (d Declaration) Since(old Declaration) Delta {
	delta := Delta{Base: old.Version, Changed: Declaration{Version: d.Version, Limits: d.Limits}}
	if old.Version == 0 {
		return Delta{Whole: true, Changed: d}
	}
	delta.Changed.Routes, delta.RemovedRoutes = difference(old.Routes, d.Routes)
	delta.Changed.Services, delta.RemovedServices = difference(old.Services, d.Services)
	delta.Changed.Organisations, delta.RemovedOrganisations = difference(old.Organisations, d.Organisations)
	return delta
}

// Merge returns the declaration after the delta, or false where it doesn't fit.
func (d Declaration) Merge(delta Delta) (Declaration, bool) {
	if delta.Whole {
		return delta.Changed, true
	}
	if delta.Base != d.Version {
		return d, false
	}
	return Declaration{
		Version:       delta.Changed.Version,
		Limits:        delta.Changed.Limits,
		Routes:        merged(d.Routes, delta.Changed.Routes, delta.RemovedRoutes),
		Services:      merged(d.Services, delta.Changed.Services, delta.RemovedServices),
		Organisations: merged(d.Organisations, delta.Changed.Organisations, delta.RemovedOrganisations),
	}, true
}

func difference[K ~string, V any](old, now map[K]V) (changed map[K]V, removed []K) {
	changed = make(map[K]V)
	for name, value := range now {
		if before, ok := old[name]; !ok || !reflect.DeepEqual(before, value) {
			changed[name] = value
		}
	}
	for name := range old {
		if _, ok := now[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

func merged[K ~string, V any](old, changed map[K]V, removed []K) map[K]V {
	now := make(map[K]V, len(old)+len(changed))
	maps.Copy(now, old)
	maps.Copy(now, changed)
	for _, name := range removed {
		delete(now, name)
	}
	return now
}
