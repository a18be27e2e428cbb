package sampler_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/reporter"
	"celeryvalve/sampler"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestHistoryCoarsensAndEnds(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	s := sampler.New(clock)
	const hours = 100
	for range hours * 60 {
		s.Count("drafting", "housing", reporter.FirstToken, true)
		clock.Advance(time.Minute)
	}
	history := s.History()
	var total uint64
	for _, interval := range history {
		for _, c := range interval.Counts {
			total += c.Total
		}
	}
	require.InDelta(t, 72*60, total, 31)
	require.InDelta(t, 6*60+2*66, len(history), 2)
	require.WithinDuration(t, clock.Now().Add(-72*time.Hour), history[0].Start, 31*time.Minute)
}

func TestMergeAddsUpEntries(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	a, b := sampler.New(clock), sampler.New(clock)
	a.Count("drafting", "housing", reporter.FirstToken, true)
	clock.Advance(time.Minute)
	a.Count("drafting", "housing", reporter.FirstToken, false)
	b.Count("drafting", "housing", reporter.FirstToken, true)
	clock.Advance(time.Second)
	snapshots := sampler.Merge([][]sampler.Interval{a.History(), b.History()}, clock.Now())
	require.Len(t, snapshots, 3)
	require.Empty(t, snapshots[0].Samples)
	last := snapshots[2]
	require.Equal(t, clock.Now(), last.Time)
	require.Equal(t, []reporter.Sample{{
		Service: "drafting", Organisation: "housing", Indicator: reporter.FirstToken, Good: 2, Total: 3,
	}}, last.Samples)
}
