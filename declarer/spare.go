package declarer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
)

const (
	// maxSpareModels is how many models that no service runs keep their digests, for a
	// declaration that is taken back or is still to come.
	maxSpareModels = 4
	// maxKnownModels is how many models that no service runs keep the number of their wanted
	// release. They take some 50 kB.
	maxKnownModels = 1024
)

// Followed returns the models whose releases are pinned and fetched: those that services run, and
// of the others the ones whose releases were named last.
func (d Declared) Followed() []identifier.Model {
	run := d.Declaration.models()
	spare := d.spareModels(run)
	return slices.Concat(slices.Sorted(maps.Keys(run)), spare[:min(len(spare), maxSpareModels)])
}

// models returns the models that services run.
func (d Declaration) models() map[identifier.Model]bool {
	models := make(map[identifier.Model]bool)
	for _, service := range d.Services {
		if service.Engine != nil && service.Engine.Model != "" {
			models[service.Engine.Model] = true
		}
	}
	return models
}

// spareModels returns the models with a release that no service runs, the one that was named last
// first.
func (d Declared) spareModels(run map[identifier.Model]bool) []identifier.Model {
	var spare []identifier.Model
	for model := range d.Releases {
		if !run[model] {
			spare = append(spare, model)
		}
	}
	slices.SortFunc(spare, func(a, b identifier.Model) int {
		return cmp.Or(d.Releases[b].lastNamed().Compare(d.Releases[a].lastNamed()), cmp.Compare(a, b))
	})
	return spare
}

// lastNamed returns when the release became the wanted one, as precisely as a snapshot holds it.
func (r Release) lastNamed() time.Time {
	if len(r.Names) == 0 {
		return time.Time{}
	}
	return r.Names[len(r.Names)-1].At.Round(time.Microsecond)
}

// dropSpare drops what is kept of models that are not followed, but for the wanted releases of
// maxKnownModels of them.
func (s *State) dropSpare() {
	spare := s.current.spareModels(s.current.Declaration.models())
	if len(spare) <= maxSpareModels {
		return
	}
	releases := maps.Clone(s.current.Releases)
	for i, model := range spare[maxSpareModels:] {
		if maxSpareModels+i >= maxKnownModels {
			delete(releases, model)
			continue
		}
		release := releases[model]
		release.Pins = nil
		release.Names = release.Names[max(0, len(release.Names)-1):]
		releases[model] = release
	}
	s.current.Releases = releases
}
