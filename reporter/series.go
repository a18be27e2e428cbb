package reporter

import (
	"sort"
	"time"

	"celeryvalve/identifier"
)

// everyOrganisation stands for the sum over the organisations of a service.
const everyOrganisation identifier.Organisation = ""

type seriesKey struct {
	service      identifier.Service
	organisation identifier.Organisation
	indicator    Indicator
}

// counts are events of one indicator.
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

// series is the growth of counter pairs since the first snapshots, without the
// falls at restarts.
type series struct {
	times []time.Time
	grown []counts
}

// append adds the growth since the last point.
func (s *series) append(at time.Time, growth counts) {
	total := growth
	if n := len(s.grown); n > 0 {
		total = s.grown[n-1].add(growth)
	}
	s.times = append(s.times, at)
	s.grown = append(s.grown, total)
}

// at returns the growth up to the last point that is not after t.
func (s *series) at(t time.Time) counts {
	i := sort.Search(len(s.times), func(i int) bool { return s.times[i].After(t) })
	if i == 0 {
		return counts{}
	}
	return s.grown[i-1]
}

// between returns the events in the window that ends at end.
func (s *series) between(end time.Time, window Duration) counts {
	to := s.at(end)
	from := s.at(end.Add(-time.Duration(window)))
	return counts{good: to.good - from.good, total: to.total - from.total}
}

// growthOf returns how far a counter pair has moved. One that fell started anew.
func growthOf(before, now counts) counts {
	if now.total < before.total || now.good < before.good {
		return now
	}
	return counts{good: now.good - before.good, total: now.total - before.total}
}

// seriesOf turns snapshots, oldest first, into series per service and
// organisation, and per service over all of its organisations. What a process had
// counted by its first snapshot came before the report's time and is left out; a
// counter of it that appears later started at zero.
func seriesOf(snapshots []Snapshot) map[seriesKey]*series {
	all := make(map[seriesKey]*series)
	latest := make(map[string]map[seriesKey]counts)
	for _, snapshot := range snapshots {
		for key, growth := range growthIn(snapshot, latest) {
			if all[key] == nil {
				all[key] = &series{}
			}
			all[key].append(snapshot.Time, growth)
		}
	}
	return all
}

// growthIn returns how far the counters of the snapshot have moved since the last
// one of its process, and notes them in latest.
func growthIn(snapshot Snapshot, latest map[string]map[seriesKey]counts) map[seriesKey]counts {
	before, known := latest[snapshot.Source]
	if !known {
		before = make(map[seriesKey]counts)
		latest[snapshot.Source] = before
	}
	grown := make(map[seriesKey]counts)
	for _, sample := range snapshot.Samples {
		key := seriesKey{sample.Service, sample.Organisation, sample.Indicator}
		now := counts{good: min(sample.Good, sample.Total), total: sample.Total}
		growth := counts{}
		if known {
			growth = growthOf(before[key], now)
		}
		before[key] = now
		grown[key] = growth
		key.organisation = everyOrganisation
		grown[key] = grown[key].add(growth)
	}
	return grown
}
