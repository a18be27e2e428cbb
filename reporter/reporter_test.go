package reporter_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/reporter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// objectives returns the objectives of a configuration with one engine service.
func objectives(favour configurer.Favour) reporter.Objectives {
	var service configurer.Service
	service.SetDefaults()
	service.Kind = parser.Engine
	service.Objectives = configurer.Objectives{
		FirstToken: 960 * time.Millisecond, BetweenTokens: 48 * time.Millisecond,
		ReadyWithin: 10 * time.Minute, Target: 0.95,
	}
	cfg := configurer.New()
	cfg.Services = map[identifier.Service]configurer.Service{"drafting": service}
	cfg.Transfers.Favour = favour
	return reporter.FromConfiguration(cfg)
}

// history returns one snapshot per minute. count returns the counters after n minutes.
func history(minutes int, count func(n int) []reporter.Sample) []reporter.Snapshot {
	var list []reporter.Snapshot
	for n := range minutes + 1 {
		list = append(list, reporter.Snapshot{Time: start.Add(time.Duration(n) * time.Minute), Samples: count(n)})
	}
	return list
}

func sample(organisation identifier.Organisation, indicator reporter.Indicator, bad, total int) reporter.Sample {
	return reporter.Sample{
		Service: "drafting", Organisation: organisation, Indicator: indicator,
		Good: uint64(total - bad), Total: uint64(total),
	}
}

func find(t *testing.T, r reporter.Report, organisation identifier.Organisation, indicator reporter.Indicator) reporter.Status {
	for _, s := range r.Statuses {
		if s.Organisation == organisation && s.Objective.Indicator == indicator {
			return s
		}
	}
	require.Fail(t, "no status", "%s %s in %+v", organisation, indicator, r.Statuses)
	return reporter.Status{}
}

func TestBurnRates(t *testing.T) {
	// 100 events per minute, of which 24 are bad in each of the last 30 of 120 minutes.
	snapshots := history(120, func(n int) []reporter.Sample {
		return []reporter.Sample{
			sample("a", reporter.FirstToken, 24*max(0, n-90), 100*n),
			sample("b", reporter.FirstToken, 0, 300*n),
		}
	})
	report := reporter.New(objectives(configurer.TimeToReplicas)).Report(snapshots)

	a := find(t, report, "a", reporter.FirstToken)
	require.EqualValues(t, 720, a.Bad)
	require.InDelta(t, 0.94, a.Attained, 1e-9)
	require.InDelta(t, -0.2, a.BudgetLeft, 1e-9)
	require.InDelta(t, 2.4, a.Burns[0].Long, 1e-9)  // 12% bad in the hour, 5% allowed
	require.InDelta(t, 4.8, a.Burns[0].Short, 1e-9) // 24% bad in five minutes
	require.Equal(t, reporter.Ticket, a.Severity)

	all := find(t, report, "", reporter.FirstToken)
	require.EqualValues(t, 720, all.Bad)
	require.InDelta(t, 0.6, all.Burns[0].Long, 1e-9)
	require.Equal(t, reporter.None, all.Severity)
	require.Len(t, all.Plot, 121)
	require.Equal(t, identifier.Organisation(""), report.Statuses[0].Organisation)
	require.Equal(t, reporter.Ticket, report.Severity)
}

func TestAlertNeedsBothWindows(t *testing.T) {
	// Guards against alerts that go on firing after their cause has ended: all events
	// were bad until ten minutes ago.
	snapshots := history(60, func(n int) []reporter.Sample {
		return []reporter.Sample{sample("a", reporter.ReadyInTime, min(n, 50), n)}
	})
	report := reporter.New(objectives(configurer.TimeToReplicas)).Report(snapshots)
	burns := find(t, report, "a", reporter.ReadyInTime).Burns
	require.Greater(t, burns[0].Long, burns[0].Alert.Threshold)
	require.False(t, burns[0].Firing)
	require.True(t, burns[1].Firing) // its short window is half an hour
}

// Guards against restarts that hide events or count them twice: a process restarts, so
// its counters begin at zero again.
func TestCountersThatStartAnew(t *testing.T) {
	snapshots := []reporter.Snapshot{
		{Time: start, Samples: []reporter.Sample{sample("a", reporter.FirstToken, 5, 1000)}},
		{Time: start.Add(time.Minute), Samples: []reporter.Sample{sample("a", reporter.FirstToken, 6, 1010)}},
		// After a restart, with the first request of another organisation.
		{Time: start.Add(2 * time.Minute), Samples: []reporter.Sample{
			sample("a", reporter.FirstToken, 0, 3), sample("b", reporter.FirstToken, 1, 1)}},
	}
	report := reporter.New(objectives(configurer.TimeToReplicas)).Report(snapshots)
	require.EqualValues(t, 13, find(t, report, "a", reporter.FirstToken).Total)
	require.EqualValues(t, 1, find(t, report, "b", reporter.FirstToken).Bad)
	require.EqualValues(t, 2, find(t, report, "", reporter.FirstToken).Bad)
}

// Guards against an objective of 100% that tolerates errors: one bad event of 60 000 must
// page.
func TestNoBudgetBreaksAtOnce(t *testing.T) {
	snapshots := history(60, func(n int) []reporter.Sample {
		return []reporter.Sample{sample("a", reporter.Exactness, n/60, 1000*n)}
	})
	report := reporter.New(objectives(configurer.TimeToReplicas)).Report(snapshots)
	status := find(t, report, "a", reporter.Exactness)
	require.Equal(t, reporter.Page, status.Severity)
	require.InDelta(t, -1, status.BudgetLeft, 0)
}

func rollout(fromOrigin, received identifier.ByteCount) reporter.Rollout {
	return reporter.Rollout{
		Service: "drafting", Model: "summaries", Version: "v2", Declared: start,
		Wanted: 10, Ready: 1, Size: 1e9, Received: received, FromOrigin: fromOrigin,
	}
}

func TestRollouts(t *testing.T) {
	at := func(after time.Duration, r reporter.Rollout) reporter.Snapshot {
		return reporter.Snapshot{Time: start.Add(after), Rollouts: []reporter.Rollout{r}}
	}
	done := rollout(1.01e9, 10e9)
	done.Ready, done.Finished = 10, start.Add(9*time.Minute)
	for name, tc := range map[string]struct {
		last    reporter.Rollout
		want    reporter.Severity
		stalled bool
	}{
		"in time":              {rollout(1e9, 5e9), reporter.None, false},
		"will be late":         {rollout(1e9, 1.1e9), reporter.Ticket, false},
		"stalled":              {rollout(1e9, 1e9), reporter.Ticket, true},
		"reads too much":       {rollout(1.11e9, 5e9), reporter.Page, false},
		"finished within both": {done, reporter.None, false},
	} {
		report := reporter.New(objectives(configurer.OriginBytes)).Report([]reporter.Snapshot{
			at(time.Minute, rollout(1e9, 1e9)), at(2*time.Minute, tc.last)})
		require.Len(t, report.Rollouts, 1, name)
		require.Equal(t, tc.want, report.Rollouts[0].Severity, name)
		require.Equal(t, tc.stalled, report.Rollouts[0].Stalled, name)
	}
}

func exampleReport() reporter.Report {
	snapshots := history(120, func(n int) []reporter.Sample {
		return []reporter.Sample{
			sample("<script>", reporter.FirstToken, 90*max(0, n-60), 100*n),
			sample("a", reporter.Exactness, 0, 10*n),
		}
	})
	snapshots[119].Rollouts = []reporter.Rollout{rollout(1e9, 1e9)}
	snapshots[120].Rollouts = []reporter.Rollout{rollout(1e9, 5e9)}
	return reporter.New(objectives(configurer.TimeToReplicas)).Report(snapshots)
}

func TestText(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, exampleReport().WriteText(&b))
	require.Contains(t, b.String(), "Severity: Page")
	require.Contains(t, b.String(), "[############............]  50%  1 of 10   1.00 of 4.00   10m           late: ")
	b.Reset()
	require.NoError(t, reporter.Report{}.WriteText(&b))
	require.Contains(t, b.String(), "No snapshots")
}

func TestPageStandsAlone(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, exampleReport().WriteHTML(&b))
	text := b.String()
	for _, reference := range []string{"http:", "https:", "src=", "href=", "url(", "@import", "<script"} {
		require.NotContains(t, text, reference)
	}
	require.Contains(t, text, "-scheme: dark)")
	require.Contains(t, text, `aria-valuenow="50"`)

	dec := xml.NewDecoder(strings.NewReader(text)) // fails unless every tag is closed
	dec.Strict = false
	dec.AutoClose = []string{"meta"}
	dec.Entity = xml.HTMLEntity
	plots := 0
	for {
		token, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		if element, ok := token.(xml.StartElement); ok && element.Name.Local == "polyline" {
			plots++
		}
	}
	require.Equal(t, 2, plots)
}

func FuzzParseSnapshots(f *testing.F) {
	data, err := json.Marshal(history(1, func(n int) []reporter.Sample {
		return []reporter.Sample{sample("a", reporter.Exactness, n, 10*n)}
	}))
	require.NoError(f, err)
	f.Add(bytes.Trim(data, "[]"))
	f.Add([]byte(`{"Time":"2026-01-01T00:00:00Z","Samples":[{"Good":2,"Total":1,"Indicator":"Exactness"}]}`))
	f.Add([]byte(`{"Rollouts":[{"Wanted":-1,"Size":-5}]}{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshots, err := reporter.ParseSnapshots(bytes.NewReader(data))
		if err != nil {
			return
		}
		report := reporter.New(objectives(configurer.TimeToReplicas)).Report(snapshots)
		require.NoError(t, report.WriteText(io.Discard))
		require.NoError(t, report.WriteHTML(io.Discard))
		require.NoError(t, report.WriteJSON(io.Discard))
	})
}
