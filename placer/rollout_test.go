package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// Load pattern: a release for the engines of three zones of unlike sizes. Any agent computes the
// same order, in which each stretch takes about the same part of all zones.
func TestRolloutOrderIsSharedAndSpreadOverZones(t *testing.T) {
	sizes := map[identifier.AvailabilityZone]int{"a": 102, "b": 68, "c": 34}
	var all []registrar.Record
	for zone, n := range sizes {
		for i := range n {
			all = append(all, registrar.Record{Upstream: identifier.Upstream(fmt.Sprintf("%s-%d", zone, i)), AvailabilityZone: zone})
		}
	}
	order := make([]registrar.Record, len(all))
	random := rand.New(rand.NewPCG(1, 2))
	for _, own := range slices.Clone(all) {
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		p := rolloutPosition(own, all)
		require.Len(t, p.Others, len(all)-1)
		require.Empty(t, order[p.Rank].Upstream, "a rank is given twice")
		order[p.Rank] = own
	}
	for first := 0; first+24 <= len(order); first += 24 {
		counts := make(map[identifier.AvailabilityZone]int)
		for _, r := range order[first : first+24] {
			counts[r.AvailabilityZone]++
		}
		for zone, n := range sizes {
			require.InDelta(t, 24*n/204, counts[zone], 2, "zone %s", zone)
		}
	}
}

// An operator sees how many engines hold a release, are out for it and wait; silent ones and
// those of other models don't count.
func TestProgressOfARelease(t *testing.T) {
	engine := func(model identifier.Model) declarer.Service {
		return declarer.Service{Engine: &declarer.Engine{Slots: 1, Model: model}}
	}
	d := declarer.Declaration{Services: map[identifier.Service]declarer.Service{"llm": engine("m"), "other": engine("n")}}
	known := func(service identifier.Service, noted declarer.ReleaseNumber, stale bool) registrar.KnownUpstream {
		return registrar.KnownUpstream{Record: registrar.Record{Service: service, Noted: noted, Stamp: 1, Release: 1}, Stale: stale}
	}
	all := []registrar.KnownUpstream{
		known("llm", 2, false), known("llm", 0, false), known("llm", 1, false), known("llm", 1, false),
		known("llm", 1, true), known("other", 1, false),
	}
	require.Equal(t, progress{Serving: 1, Out: 1, Waiting: 2}, countProgress(d, "m", 2, all))
}
