package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

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
