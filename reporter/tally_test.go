package reporter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/reporter"
	"celeryvalve/router"
)

func TestTallyJudgesAnswers(t *testing.T) {
	set := metrics.NewSet()
	tally := reporter.NewTally(set)
	cfg := configurer.New()
	cfg.Services = map[identifier.Service]configurer.Service{
		"drafting": {Kind: parser.Engine, Objectives: configurer.Objectives{FirstToken: time.Second, BetweenTokens: time.Millisecond}},
		"booking":  {Kind: parser.Plain},
	}
	tally.SetConfiguration(cfg)
	tally.RecordAnswer(reporter.Answer{Service: "drafting", Organisation: "a", Outcome: router.Completed,
		FirstToken: 2 * time.Second, Gaps: []time.Duration{time.Millisecond, time.Second}})
	tally.RecordAnswer(reporter.Answer{Service: "drafting", Organisation: "a", Outcome: router.NotRun})
	tally.RecordAnswer(reporter.Answer{Service: "drafting", Organisation: "a", Outcome: router.Unknown, CallerGone: true})
	tally.RecordAnswer(reporter.Answer{Service: "booking", Organisation: "a", Outcome: router.Unknown, FirstToken: 1})
	tally.RecordAnswer(reporter.Answer{Service: "other", Organisation: "a", Outcome: router.Completed})

	got := make(map[string][2]uint64)
	for _, s := range tally.Samples() {
		got[string(s.Service)+" "+string(s.Indicator)] = [2]uint64{s.Good, s.Total}
	}
	require.Equal(t, map[string][2]uint64{
		"drafting ReadyInTime":   {1, 2},
		"drafting Exactness":     {3, 3},
		"drafting FirstToken":    {0, 1},
		"drafting BetweenTokens": {1, 2},
		"booking ReadyInTime":    {0, 1},
		"booking Exactness":      {0, 1},
	}, got)
	var b bytes.Buffer
	set.WritePrometheus(&b)
	require.Contains(t, b.String(), `events_total{service="drafting",organisation="a",indicator="BetweenTokens"} 2`)
}

// Guards against a history that grows without bound, and against one that drops snapshots
// that the windows of alerts need.
func TestHistoryThinsWithAge(t *testing.T) {
	var history reporter.History
	at := start
	add := func(n int, step time.Duration) {
		for range n {
			at = at.Add(step)
			history.Add(reporter.Snapshot{Source: "entry-1", Time: at})
		}
	}
	add(35*24, time.Hour)
	add(12*60, time.Minute)
	kept := history.Snapshots()
	require.Less(t, len(kept), 250)
	last := kept[len(kept)-1].Time
	require.Equal(t, at, last)
	for i, s := range kept[1:] {
		gap, age := s.Time.Sub(kept[i].Time), last.Sub(s.Time)
		require.LessOrEqual(t, age, 30*24*time.Hour)
		if age < time.Hour {
			require.Equal(t, time.Minute, gap)
		}
		require.Less(t, gap, 25*time.Hour)
	}
}

func TestReportSumsProcesses(t *testing.T) {
	// Two entries with alternating snapshots. The counts in the first snapshot of the
	// second entry, which started later, are left out.
	snapshots := history(120, func(n int) []reporter.Sample {
		return []reporter.Sample{sample("a", reporter.FirstToken, n, 10*n)}
	})
	for n := 60; n <= 120; n++ {
		snapshots = append(snapshots, reporter.Snapshot{
			Source:  "entry-2",
			Time:    start.Add(time.Duration(n)*time.Minute + time.Second),
			Samples: []reporter.Sample{sample("a", reporter.FirstToken, 500, 1000+10*(n-60))},
		})
	}
	report := reporter.New(objectives(configurer.OriginBytes)).Report(snapshots)
	status := find(t, report, "a", reporter.FirstToken)
	require.EqualValues(t, 120, status.Bad)
	require.EqualValues(t, 1800, status.Total)
}
