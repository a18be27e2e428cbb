package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/stager"
)

// rolloutPosition returns the position of an engine among those of its service, in the order
// in which they load a release. Every agent computes the same order: the first engine of each
// availability zone, in proportion to the zone's size, then the second, so that each stretch of
// it takes about the same part of all zones and regions.
func rolloutPosition(own registrar.Record, all []registrar.Record) stager.RolloutPosition {
	zones := make(map[identifier.AvailabilityZone][]registrar.Record)
	for _, r := range all {
		zones[r.AvailabilityZone] = append(zones[r.AvailabilityZone], r)
	}
	type place struct {
		record registrar.Record
		part   float64
	}
	var places []place
	for _, engines := range zones {
		slices.SortFunc(engines, compareEngines)
		for i, r := range engines {
			places = append(places, place{record: r, part: (float64(i) + 0.5) / float64(len(engines))})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.part, b.part), compareEngines(a.record, b.record))
	})
	var p stager.RolloutPosition
	for _, at := range places {
		if at.record.Upstream == own.Upstream {
			p.Rank = len(p.Others)
			continue
		}
		p.Others = append(p.Others, stager.Other{Upstream: at.record.Upstream, Serves: at.record.Serves()})
	}
	return p
}

// compareEngines orders engines by the hash of their names, so that zones do not all begin
// with engines that are alike in name.
func compareEngines(a, b registrar.Record) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.Upstream)), xxhash.Sum64String(string(b.Upstream))),
		cmp.Compare(a.Upstream, b.Upstream))
}
