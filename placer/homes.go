package placer

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/parser"
)

// maxNamedPairs bounds the pairs that one line of the log names, to about a kilobyte.
const maxNamedPairs = 8

// watchHomes logs and counts the routes and organisations of each declaration whose homes
// leave no region.
func watchHomes(view *declarer.View, placement parser.Placement, set *metrics.Set, log *zap.Logger) {
	regions := slices.Compact(slices.Sorted(maps.Values(placement.Regions)))
	log = log.Named("entry")
	var homeless atomic.Int64
	set.NewGauge("celeryvalve_homeless_pairs", func() float64 { return float64(homeless.Load()) })
	var version atomic.Uint64
	view.Watch(func() {
		d := view.Declared().Declaration
		if version.Swap(uint64(d.Version)) == uint64(d.Version) {
			return
		}
		pairs := d.HomelessPairs(regions)
		homeless.Store(int64(len(pairs)))
		if len(pairs) > 0 {
			log.Warn("Homes leave no region.", zap.Uint64("declared", uint64(d.Version)), zap.Int("pairs", len(pairs)),
				zap.Any("first", firstPairs(pairs)))
		}
	})
}

func firstPairs(pairs []declarer.HomelessPair) []declarer.HomelessPair {
	return pairs[:min(len(pairs), maxNamedPairs)]
}
