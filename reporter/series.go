package reporter

import (
	"sort"
	"time"

	"celeryvalve/identifier"
)

// allOrganisations is the key of the sum over all organisations of a service.
const allOrganisations identifier.Organisation = ""

// seriesKey identifies a series.
type seriesKey struct {
	service      identifier.Service
	organisation identifier.Organisation
	indicator    Indicator
}

// counts are the numbers of good and of all events of one indicator.
type counts struct {
	good  uint64
	total uint64
}

func (c counts) bad() uint64 {
	return c.total - c.good
}

func (c counts) add(d counts) counts {
	return counts{good: c.good + d.good, total: c.total + d.total}
}

// series is the cumulative increase of counters since the first snapshots, corrected for
// counter resets. At times[i] the increase is cumulative[i].
type series struct {
	times      []time.Time
	cumulative []counts
}

// append adds a point with the increase since the last point.
func (s *series) append(at time.Time, increase counts) {
	total := increase
	if n := len(s.cumulative); n > 0 {
		total = s.cumulative[n-1].add(increase)
	}
	s.times = append(s.times, at)
	s.cumulative = append(s.cumulative, total)
}

// at returns the cumulative increase at the last point that is not after t.
func (s *series) at(t time.Time) counts {
	i := sort.Search(len(s.times), func(i int) bool { return s.times[i].After(t) })
	if i == 0 {
		return counts{}
	}
	return s.cumulative[i-1]
}

// between returns the events in the window of the given length that ends at end.
func (s *series) between(end time.Time, window Duration) counts {
	to := s.at(end)
	from := s.at(end.Add(-time.Duration(window)))
	return counts{good: to.good - from.good, total: to.total - from.total}
}

// counterIncrease returns the increase of a counter pair. If a counter has fallen, it was
// reset by a restart and has counted from zero since.
func counterIncrease(previous, current counts) counts {
	if current.total < previous.total || current.good < previous.good {
		return current
	}
	return counts{good: current.good - previous.good, total: current.total - previous.total}
}

// buildSeries returns the series of the snapshots, which are sorted by time: one per
// indicator, service and organisation, and one per indicator and service over all
// organisations. The counts in the first snapshot of a process are left out, since
// they are from before the time that the report covers. A counter that first appears in
// a later snapshot of the process started at zero.
func buildSeries(snapshots []Snapshot) map[seriesKey]*series {
	all := make(map[seriesKey]*series)
	latest := make(map[string]map[seriesKey]counts)
	for _, snapshot := range snapshots {
		for key, increase := range snapshotIncreases(snapshot, latest) {
			if all[key] == nil {
				all[key] = &series{}
			}
			all[key].append(snapshot.Time, increase)
		}
	}
	return all
}

// snapshotIncreases returns the increase of each counter since the previous snapshot of
// the same process, and records the counters in latest.
func snapshotIncreases(snapshot Snapshot, latest map[string]map[seriesKey]counts) map[seriesKey]counts {
	previous, known := latest[snapshot.Source]
	if !known {
		previous = make(map[seriesKey]counts)
		latest[snapshot.Source] = previous
	}
	increases := make(map[seriesKey]counts)
	for _, sample := range snapshot.Samples {
		key := seriesKey{sample.Service, sample.Organisation, sample.Indicator}
		current := counts{good: min(sample.Good, sample.Total), total: sample.Total}
		increase := counts{}
		if known {
			increase = counterIncrease(previous[key], current)
		}
		previous[key] = current
		increases[key] = increase
		key.organisation = allOrganisations
		increases[key] = increases[key].add(increase)
	}
	return increases
}
