package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Delta holds the changes from one version of the configuration to another.
type Delta struct {
	Base    identifier.ConfigurationVersion // the delta applies to this version and to newer ones
	Version identifier.ConfigurationVersion
	Whole   bool // replaces all objects; Base is ignored
	Objects Objects
	Removed []Ref
	// Stamps holds the version that last changed each object of the delta.
	// Unless the delta is Whole, it contains Transfers only if Stamps has an
	// entry for it.
	Stamps map[Ref]identifier.ConfigurationVersion
	Floor  identifier.ConfigurationVersion
}

// Need selects the part of the configuration that a process receives.
type Need struct {
	All      bool                 // everything except operators; for an entry
	Services []identifier.Service // these, those that share weights with them, their models and adapters, and the transfers; for an agent
}

// servicesPrefix is the prefix of the Ref of every service.
const servicesPrefix = "Services."

// MaximumTombstones is the maximum number of tombstones. A process whose version
// is older than a dropped tombstone gets a whole configuration instead of a
// delta.
const MaximumTombstones = 1024

// DeltaSince returns the changes after the version since. It returns a whole
// configuration if since is 0, older than Floor or newer than the version of c.
func (c Configuration) DeltaSince(since identifier.ConfigurationVersion) Delta {
	d := Delta{Base: since, Version: c.Version, Floor: c.Floor, Stamps: make(map[Ref]identifier.ConfigurationVersion)}
	if since < c.Floor || since > c.Version || since == 0 {
		d.Whole = true
	}
	for _, ref := range slices.Sorted(maps.Keys(c.Stamps)) {
		stamp := c.Stamps[ref]
		if stamp <= since && !d.Whole {
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

// DeltaFor returns the delta for a process that has the version since and
// receives only what the need selects. If the need names services, the delta
// contains their whole slice whenever one of its objects may have changed, and
// nothing otherwise: a change of a service can change which objects belong to
// the slice, and the slice is small.
func (c Configuration) DeltaFor(since identifier.ConfigurationVersion, need Need) Delta {
	if need.All {
		return withoutOperators(c.DeltaSince(since))
	}
	slice := c.SliceFor(need)
	if since > 0 && since <= c.Version && since >= c.Floor && !c.changedSince(since, need) {
		return Delta{Base: since, Version: c.Version, Floor: c.Floor}
	}
	d := slice.DeltaSince(0)
	d.Base = since
	return d
}

// SliceFor returns the part of the configuration that the need selects.
func (c Configuration) SliceFor(need Need) Configuration {
	if need.All {
		all := c
		all.Operators = nil
		return all
	}
	slice := Configuration{Version: c.Version, Floor: c.Floor, Stamps: make(map[Ref]identifier.ConfigurationVersion)}
	slice.Transfers = c.Transfers
	for _, ref := range c.requiredRefs(need) {
		if c.copyTo(&slice.Objects, ref) {
			slice.Stamps[ref] = c.Stamps[ref]
		}
	}
	return slice
}

// Merge returns the configuration after the delta. The error is Fenced if the
// delta leads to a version older than that of c, and Unavailable if it starts
// at a newer one.
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
			fmt.Sprintf("delta starts at configuration %d, which is newer than %d", d.Base, c.Version), "ask for a delta from the older version")
	}
	if d.Whole {
		return Configuration{Version: d.Version, Objects: d.Objects, Stamps: d.Stamps, Floor: d.Floor}, nil
	}
	return c.applyDelta(d), nil
}

// DeltaBetween returns the delta that turns one configuration into another, which
// may be older. It is applied by Rewind.
func DeltaBetween(from, to Configuration) Delta {
	d := Delta{Base: from.Version, Version: to.Version, Floor: to.Floor, Stamps: make(map[Ref]identifier.ConfigurationVersion)}
	for _, ref := range changedRefs(&from.Objects, &to.Objects) {
		if !to.copyTo(&d.Objects, ref) {
			d.Removed = append(d.Removed, ref)
		}
		d.Stamps[ref] = to.Stamps[ref]
	}
	return d
}

// Rewind returns the older configuration to which a delta of DeltaBetween leads. It
// is only for showing the history and never for the configuration in force.
func (c Configuration) Rewind(d Delta) Configuration {
	return c.applyDelta(d)
}

// applyDelta returns the configuration after a delta that starts at the version
// of c or an older one.
func (c Configuration) applyDelta(d Delta) Configuration {
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

// requiredRefs returns the services related to the need, the objects that they
// use, and the transfers.
func (c Configuration) requiredRefs(need Need) []Ref {
	refs := []Ref{transfersRef}
	for _, name := range c.RelatedServices(need) {
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

// changedSince reports whether the slice of the need may have changed after the
// version since. A change of any service counts, since that service may have
// started or stopped sharing weights.
func (c Configuration) changedSince(since identifier.ConfigurationVersion, need Need) bool {
	for _, ref := range c.requiredRefs(need) {
		if c.Stamps[ref] > since {
			return true
		}
	}
	for ref, stamp := range c.Stamps {
		if stamp > since && strings.HasPrefix(string(ref), servicesPrefix) {
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

func sortedUnion(a, b []Ref) []Ref {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
