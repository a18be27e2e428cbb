package sampler

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/reporter"
)

// Merge adds up the histories of entries into snapshots of counts since the
// oldest interval. Every snapshot stands at the end of an interval, but for the
// last one, which stands at now.
func Merge(histories [][]Interval, now time.Time) []reporter.Snapshot {
	byStart := make(map[int64]map[key]pair)
	for _, history := range histories {
		for _, interval := range history {
			addInterval(byStart, interval)
		}
	}
	running := make(map[key]pair)
	starts := slices.Sorted(maps.Keys(byStart))
	var snapshots []reporter.Snapshot
	if len(starts) > 0 {
		snapshots = append(snapshots, reporter.Snapshot{Time: time.Unix(starts[0], 0).UTC()})
	}
	for i, start := range starts {
		for k, p := range byStart[start] {
			sum := running[k]
			sum.good += p.good
			sum.total += p.total
			running[k] = sum
		}
		end := now
		if i+1 < len(starts) {
			end = time.Unix(starts[i+1], 0).UTC()
		}
		snapshots = append(snapshots, snapshotOf(end, running))
	}
	return snapshots
}

func addInterval(byStart map[int64]map[key]pair, interval Interval) {
	start := interval.Start.Unix()
	into := byStart[start]
	if into == nil {
		into = make(map[key]pair)
		byStart[start] = into
	}
	for _, c := range interval.Counts {
		k := key{c.Service, c.Organisation, c.Indicator}
		sum := into[k]
		sum.good += c.Good
		sum.total += c.Total
		into[k] = sum
	}
}

func snapshotOf(at time.Time, counts map[key]pair) reporter.Snapshot {
	snapshot := reporter.Snapshot{Time: at}
	for k, p := range counts {
		snapshot.Samples = append(snapshot.Samples, reporter.Sample{
			Service:      k.service,
			Organisation: k.organisation,
			Indicator:    k.indicator,
			Good:         p.good,
			Total:        p.total,
		})
	}
	return snapshot
}
