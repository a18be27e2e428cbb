package declarer

import (
	"maps"
	"slices"

	"celeryvalve/identifier"
)

// Homes are the regions in which requests may be served and kept. An empty list allows
// every region. An empty name in the list allows none, so that a list that was filled in
// badly does not count as no list.
type Homes []identifier.Region

// Allows reports whether requests may be served in the region. With homes, a region that
// is not known is not allowed.
func (h Homes) Allows(region identifier.Region) bool {
	return len(h) == 0 || region != "" && slices.Contains(h, region)
}

// HomelessPair is a route and an organisation whose requests may be served in no region.
// No route means that the organisation's homes alone leave none, on any route; no
// organisation the same of the route.
type HomelessPair struct {
	Route        identifier.Route
	Organisation identifier.Organisation
}

// HomelessPairs returns the pairs whose homes leave none of the regions, sorted. The
// declaration is valid nevertheless: requests of these pairs are refused.
func (d Declaration) HomelessPairs(regions []identifier.Region) []HomelessPair {
	homeless := func(lists ...Homes) bool {
		return !slices.ContainsFunc(regions, func(region identifier.Region) bool {
			return !slices.ContainsFunc(lists, func(h Homes) bool { return !h.Allows(region) })
		})
	}
	var pairs []HomelessPair
	var organisations []identifier.Organisation
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		switch homes := d.Organisations[name].Homes; {
		case len(homes) == 0:
		case homeless(homes):
			pairs = append(pairs, HomelessPair{Organisation: name})
		default:
			organisations = append(organisations, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Routes)) {
		homes := d.Routes[name].Homes
		if len(homes) == 0 {
			continue
		}
		if homeless(homes) {
			pairs = append(pairs, HomelessPair{Route: name})
			continue
		}
		for _, organisation := range organisations {
			if homeless(homes, d.Organisations[organisation].Homes) {
				pairs = append(pairs, HomelessPair{Route: name, Organisation: organisation})
			}
		}
	}
	return pairs
}
