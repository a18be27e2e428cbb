package configurer

import (
	"maps"
	"slices"

	"celeryvalve/identifier"
)

// RelatedServices returns the services of the need and those that share a model or an
// adapter with them, sorted by name. The upstreams of all these services
// exchange weights.
func (c Configuration) RelatedServices(need Need) []identifier.Service {
	var related []identifier.Service
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if need.All || c.sharesWeights(name, need.Services) {
			related = append(related, name)
		}
	}
	return related
}

func (c Configuration) sharesWeights(name identifier.Service, needed []identifier.Service) bool {
	a := c.Services[name]
	for _, other := range needed {
		b := c.Services[other]
		if name == other || (a.Model != "" && a.Model == b.Model) {
			return true
		}
		for adapter := range a.Adapters {
			if _, ok := b.Adapters[adapter]; ok {
				return true
			}
		}
	}
	return false
}
