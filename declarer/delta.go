package declarer

import (
	"maps"
	"reflect"
	"slices"

	"celeryvalve/identifier"
)

// Delta is the difference between a declaration and a newer one.
type Delta struct {
	// Base is the version that the delta applies to. It is ignored if Whole is set.
	Base identifier.ConfigurationVersion
	// Whole means that Changed is the complete new declaration.
	Whole bool
	// Changed holds the new version and limits, and the objects that were added
	// or changed.
	Changed              Declaration
	RemovedRoutes        []identifier.Route
	RemovedServices      []identifier.Service
	RemovedOrganisations []identifier.Organisation
}

// ForAgents returns the declaration without its routes, organisations and limits,
// which agents don't need: they only use the services.
func (d Declaration) ForAgents() Declaration {
	return Declaration{Version: d.Version, Services: d.Services}
}

// DeltaFrom returns the delta from the older declaration to d. It is a Whole one if old
// is empty.
func (d Declaration) DeltaFrom(old Declaration) Delta {
	delta := Delta{Base: old.Version, Changed: Declaration{Version: d.Version, Limits: d.Limits}}
	if old.Version == 0 {
		return Delta{Whole: true, Changed: d}
	}
	delta.Changed.Routes, delta.RemovedRoutes = diffMaps(old.Routes, d.Routes)
	delta.Changed.Services, delta.RemovedServices = diffMaps(old.Services, d.Services)
	delta.Changed.Organisations, delta.RemovedOrganisations = diffMaps(old.Organisations, d.Organisations)
	return delta
}

// Apply returns the declaration that results from applying the delta to d, or false
// if the delta's base is not the version of d.
func (d Declaration) Apply(delta Delta) (Declaration, bool) {
	if delta.Whole {
		return delta.Changed, true
	}
	if delta.Base != d.Version {
		return d, false
	}
	return Declaration{
		Version:       delta.Changed.Version,
		Limits:        delta.Changed.Limits,
		Routes:        applyDiff(d.Routes, delta.Changed.Routes, delta.RemovedRoutes),
		Services:      applyDiff(d.Services, delta.Changed.Services, delta.RemovedServices),
		Organisations: applyDiff(d.Organisations, delta.Changed.Organisations, delta.RemovedOrganisations),
	}, true
}

func diffMaps[K ~string, V any](old, current map[K]V) (changed map[K]V, removed []K) {
	changed = make(map[K]V)
	for name, value := range current {
		if before, ok := old[name]; !ok || !reflect.DeepEqual(before, value) {
			changed[name] = value
		}
	}
	for name := range old {
		if _, ok := current[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

func applyDiff[K ~string, V any](old, changed map[K]V, removed []K) map[K]V {
	result := make(map[K]V, len(old)+len(changed))
	maps.Copy(result, old)
	maps.Copy(result, changed)
	for _, name := range removed {
		delete(result, name)
	}
	return result
}
