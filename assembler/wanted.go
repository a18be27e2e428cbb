package assembler

import (
	"strings"

	"celeryvalve/configurer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
)

// adapterPriority puts small adapters before models of the same service.
const adapterPriority = 1

// wanted is one manifest that the configuration asks of this upstream.
type wanted struct {
	name     fetcher.Name
	version  identifier.WeightVersion
	manifest identifier.Digest
	source   string
	priority fetcher.Priority
	favour   fetcher.Favour
}

// wantsOf returns the manifests that the service's upstreams serve, by name.
func wantsOf(cfg configurer.Configuration, name identifier.Service) map[fetcher.Name]wanted {
	wants := make(map[fetcher.Name]wanted)
	service, ok := cfg.Services[name]
	if !ok {
		return wants
	}
	add := func(n fetcher.Name, version identifier.WeightVersion, release configurer.Release, priority int) {
		wants[n] = wanted{
			name:     n,
			version:  version,
			manifest: release.Manifest,
			source:   strings.TrimSuffix(cfg.Transfers.OriginAddress, "/") + release.Source,
			priority: fetcher.Priority(priority),
			favour:   fetcher.Favour(cfg.FavourOf(name)),
		}
	}
	if release, ok := cfg.Models[service.Model].Versions[service.Version]; ok {
		add(fetcher.Name{Model: service.Model}, service.Version, release, service.Priority)
	}
	for adapter, version := range service.Adapters {
		if release, ok := cfg.Adapters[adapter].Versions[version]; ok {
			add(fetcher.Name{Model: service.Model, Adapter: adapter}, version, release, service.Priority+adapterPriority)
		}
	}
	return wants
}
