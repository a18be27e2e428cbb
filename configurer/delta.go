package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Delta leads from a version to a newer one.
type Delta struct {
	Base    identifier.ConfigurationVersion // works on any version from here on
	Version identifier.ConfigurationVersion
	Whole   bool // replaces everything; Base doesn't matter
	Objects Objects
	Removed []Ref
	// Stamps has the version that last changed each object of the delta, and is
	// what says that Transfers is one of them.
	Stamps map[Ref]identifier.ConfigurationVersion
	Floor  identifier.ConfigurationVersion
}

// Need is what a process must know of the configuration.
type Need struct {
	All      bool                 // everything but operators: an entry
	Services []identifier.Service // with those that share their weights, and the transfers: an agent
}

// servicesPrefix begins the reference of every service.
const servicesPrefix = "Services."

// TombstonesKept is how many removed objects are remembered. A process that is
// further behind gets a whole configuration in place of a delta.
const TombstonesKept = 1024

// DeltaSince returns all that changed after the version have.
func (c Configuration) DeltaSince(have identifier.ConfigurationVersion) Delta {
	d := Delta{Base: have, Version: c.Version, Floor: c.Floor, Stamps: make(map[Ref]identifier.ConfigurationVersion)}
	if have < c.Floor || have > c.Version || have == 0 {
		d.Whole = true
	}
	for _, ref := range slices.Sorted(maps.Keys(c.Stamps)) {
		stamp := c.Stamps[ref]
		if stamp <= have && !d.Whole {
			continue
		}
		if c.copyTo(&d.Objects, ref) {
			d.Stamps[ref] = stamp
		} else if !d.Whole {
			d.Removed = append(d.Removed, ref)
			d.Stamps[ref] = stamp
		}
	}
	if d.Whole {
		d.Objects.Transfers = c.Transfers
	}
	return d
}

// DeltaFor returns what a process of the need must hear after the version have.
// A need of single services is answered whole whenever one of its objects
// changed: what belongs to a service changes with it, and is small.
func (c Configuration) DeltaFor(have identifier.ConfigurationVersion, need Need) Delta {
	if need.All {
		return withoutOperators(c.DeltaSince(have))
	}
	slice := c.Slice(need)
	if have > 0 && have <= c.Version && have >= c.Floor && !c.changedSince(have, need) {
		return Delta{Base: have, Version: c.Version, Floor: c.Floor}
	}
	d := slice.DeltaSince(0)
	d.Base = have
	return d
}

// Slice returns the part of the configuration that the need is about.
func (c Configuration) Slice(need Need) Configuration {
	if need.All {
		all := c
		all.Operators = nil
		return all
	}
	slice := Configuration{Version: c.Version, Floor: c.Floor, Stamps: make(map[Ref]identifier.ConfigurationVersion)}
	slice.Transfers = c.Transfers
	for _, ref := range c.closure(need) {
		if c.copyTo(&slice.Objects, ref) {
			slice.Stamps[ref] = c.Stamps[ref]
		}
	}
	return slice
}

// Merge returns the configuration after the delta. It refuses to go back, and a
// delta that starts after the version of c.
func (c Configuration) Merge(d Delta) (Configuration, error) {
	if d.Version < c.Version {
		return c, explainer.New(explainer.Fenced,
			fmt.Sprintf("configuration %d is older than %d", d.Version, c.Version), "ask a process that is up to date")
	}
	if d.Version == c.Version && !d.Whole {
		return c, nil
	}
	if !d.Whole && d.Base > c.Version {
		return c, explainer.New(explainer.Unavailable,
			fmt.Sprintf("delta starts at configuration %d, after %d", d.Base, c.Version), "ask for a delta from the older version")
	}
	if d.Whole {
		return Configuration{Version: d.Version, Objects: d.Objects, Stamps: d.Stamps, Floor: d.Floor}, nil
	}
	return c.follow(d), nil
}

// Between returns the delta that turns one configuration into another, which may
// be older. Rewind takes it.
func Between(from, to Configuration) Delta {
	d := Delta{Base: from.Version, Version: to.Version, Floor: to.Floor, Stamps: make(map[Ref]identifier.ConfigurationVersion)}
	for _, ref := range changedRefs(&from.Objects, &to.Objects) {
		if !to.copyTo(&d.Objects, ref) {
			d.Removed = append(d.Removed, ref)
		}
		d.Stamps[ref] = to.Stamps[ref]
	}
	return d
}

// Rewind returns the older configuration that a delta of Between leads to. It is
// for showing history and never for what is in force.
func (c Configuration) Rewind(d Delta) Configuration {
	return c.follow(d)
}

// follow applies a delta that fits c.
func (c Configuration) follow(d Delta) Configuration {
	next := Configuration{
		Version: d.Version,
		Objects: c.clone(),
		Stamps:  make(map[Ref]identifier.ConfigurationVersion, len(c.Stamps)+len(d.Stamps)),
		Floor:   d.Floor,
	}
	maps.Copy(next.Stamps, c.Stamps)
	maps.Copy(next.Stamps, d.Stamps)
	for ref := range d.Stamps {
		if !slices.Contains(d.Removed, ref) {
			d.Objects.copyTo(&next.Objects, ref)
		}
	}
	for _, ref := range d.Removed {
		next.remove(ref)
	}
	return next
}

// closure returns the objects that the need's services use, and the services.
func (c Configuration) closure(need Need) []Ref {
	refs := []Ref{transfersRef}
	for _, name := range c.Related(need) {
		refs = append(refs, refOf("Services", string(name)))
		service := c.Services[name]
		if service.Model != "" {
			refs = append(refs, refOf("Models", string(service.Model)))
		}
		for adapter := range service.Adapters {
			refs = append(refs, refOf("Adapters", string(adapter)))
		}
	}
	return refs
}

// changedSince reports whether the slice of the need may have changed. Any change
// of a service counts: it may have begun or ceased to share weights.
func (c Configuration) changedSince(have identifier.ConfigurationVersion, need Need) bool {
	for _, ref := range c.closure(need) {
		if c.Stamps[ref] > have {
			return true
		}
	}
	for ref, stamp := range c.Stamps {
		if stamp > have && strings.HasPrefix(string(ref), servicesPrefix) {
			return true
		}
	}
	return false
}

func withoutOperators(d Delta) Delta {
	for name := range d.Objects.Operators {
		delete(d.Stamps, refOf("Operators", string(name)))
	}
	d.Objects.Operators = nil
	return d
}

func union(a, b []Ref) []Ref {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
