package assembler

import (
	"strings"

	"celeryvalve/configurer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
)

// adapterPriority is added to the priority of adapters: they are small, and are fetched
// before the model of the same service.
const adapterPriority = 1

// wantedManifest is a manifest that the configuration assigns to a service's upstreams.
type wantedManifest struct {
	name     fetcher.Name
	version  identifier.WeightVersion
	manifest identifier.Digest
	source   string
	priority fetcher.Priority
	favour   fetcher.Favour
}

// wantedManifests returns the manifests that the service's upstreams must serve, by name.
func wantedManifests(cfg configurer.Configuration, name identifier.Service) map[fetcher.Name]wantedManifest {
	wants := make(map[fetcher.Name]wantedManifest)
	service, ok := cfg.Services[name]
	if !ok {
		return wants
	}
	add := func(n fetcher.Name, version identifier.WeightVersion, release configurer.Release, priority int) {
		wants[n] = wantedManifest{
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
