package generator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/generator"
	"celeryvalve/imitator"
)

// newEntry plays a system under test that has one engine and one service.
func newEntry(t *testing.T, sw *imitator.Switch) (string, *imitator.History) {
	clock := clockwork.NewRealClock()
	history := imitator.NewHistory(clock)
	process := imitator.NewProcess(clock, sw, history, func() {})
	engine := imitator.NewEngine(imitator.EngineConfig{BatchSize: 64}, process).Handler()
	service := imitator.NewService(imitator.ServiceConfig{Concurrency: 64, Name: "b"}, process).Handler()
	order := httptest.NewRequest(http.MethodPost, "/orders/load", jsonBody(t, imitator.Order{Model: "summaries", Version: "1"}))
	engine.ServeHTTP(httptest.NewRecorder(), order)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(generator.HeaderOutcome, string(generator.Completed))
		if strings.HasPrefix(r.URL.Path, "/drafting/") {
			http.StripPrefix("/drafting", engine).ServeHTTP(w, r)
			return
		}
		http.StripPrefix("/"+strings.Split(r.URL.Path, "/")[1], service).ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return srv.URL, history
}

func runPlan(t *testing.T, url string) (generator.Plan, []generator.Record) {
	plan := generator.DefaultPlan()
	plan.Rate = 200
	plan.Duration = imitator.Duration(300 * time.Millisecond)
	for i := range plan.Classes {
		plan.Classes[i].ResendAfter = imitator.Duration(time.Millisecond)
	}
	g, err := generator.New(plan, []string{url}, http.DefaultClient, clockwork.NewRealClock())
	require.NoError(t, err)
	return plan, g.Run(context.Background())
}

func TestLoadMeasuresAndFindsDoubledRuns(t *testing.T) {
	url, history := newEntry(t, imitator.NewSwitch(imitator.Misbehaviour{}))
	plan, records := runPlan(t, url)
	summary := generator.Summarise(plan, records)
	require.Equal(t, summary.All.Sent, summary.All.Good, "%+v", summary.All.Faults)
	require.Equal(t, 32*summary.PerClass["drafting"].Sent, summary.All.Tokens)
	require.Len(t, history.Runs(), summary.All.Sent)
	require.Greater(t, summary.PerOrganisation["organisation-0"].Sent, summary.PerOrganisation["organisation-9"].Sent)

	// The service repeats a booking, so each resend is one breach.
	resends := 0
	for _, rec := range records {
		if rec.Resend {
			resends++
		}
	}
	require.Positive(t, resends)
	require.Len(t, generator.Check(records, history.Runs()), resends)
	require.Equal(t, resends, summary.Differing)
}

func TestLoadFindsAnswersThatAreNotWhole(t *testing.T) {
	for name, m := range map[string]imitator.Misbehaviour{
		"short":   {Short: true},
		"crossed": {Crossed: true},
	} {
		t.Run(name, func(t *testing.T) {
			url, history := newEntry(t, imitator.NewSwitch(m))
			plan, records := runPlan(t, url)
			drafting := generator.Summarise(plan, records).PerClass["drafting"]
			require.LessOrEqual(t, drafting.Good, 1) // nothing came before the first to cross it with
			require.NotEmpty(t, generator.Check(records, history.Runs()))
		})
	}
}

func TestCheckJudgesOutcomes(t *testing.T) {
	runs := []imitator.Run{{RequestID: "r1"}, {RequestID: "r2", IdempotencyKey: "k"}}
	for name, tc := range map[string]struct {
		record generator.Record
		want   int
	}{
		"completed and ran":         {generator.Record{RequestID: "r1", Outcome: generator.Completed}, 0},
		"completed but did not run": {generator.Record{RequestID: "r3", Outcome: generator.Completed}, 1},
		"not run but ran":           {generator.Record{RequestID: "r1", Outcome: generator.NotRun}, 1},
		"not run and did not":       {generator.Record{RequestID: "r3", Outcome: generator.NotRun}, 0},
		"resend, answered by first": {generator.Record{RequestID: "r4", IdempotencyKey: "k", Outcome: generator.Completed}, 0},
		"resend refused":            {generator.Record{RequestID: "r4", IdempotencyKey: "k", Outcome: generator.NotRun}, 0},
		"unknown":                   {generator.Record{RequestID: "r1", Outcome: generator.Unknown}, 0},
	} {
		require.Len(t, generator.Check([]generator.Record{tc.record}, runs), tc.want, name)
	}
}

func TestPlanRoundTrip(t *testing.T) {
	data, err := json.Marshal(generator.DefaultPlan())
	require.NoError(t, err)
	plan, err := generator.ParsePlan(data)
	require.NoError(t, err)
	require.Equal(t, generator.DefaultPlan(), plan)
	_, err = generator.ParsePlan([]byte(`{"rate_":1}`))
	require.Error(t, err)
}

func jsonBody(t *testing.T, v any) *bytes.Reader {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return bytes.NewReader(data)
}
