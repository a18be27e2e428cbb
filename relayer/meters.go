package relayer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/balancer"
	"celeryvalve/reader"
)

// meters holds the relayer's metrics.
type meters struct {
	set           *metrics.Set
	crossed       *metrics.Counter
	attempts      *metrics.Counter
	events        *metrics.Counter
	crashes       *metrics.Counter
	rests         *metrics.Counter
	evacuated     *metrics.Gauge
	coldChanges   *metrics.Counter
	coldAttempts  *metrics.Counter
	heldTokens    *metrics.Counter
	heldPrompts   *metrics.Counter
	firstByte     *metrics.Histogram
	longestPause  *metrics.Histogram
	slowUpstreams *metrics.Counter
	bodiesRefused *metrics.Counter
}

func newMeters(set *metrics.Set, memory *reader.Budget) *meters {
	set.NewGauge("celeryvalve_buffered_bytes", func() float64 { return float64(memory.Use().Used) })
	set.NewGauge("celeryvalve_buffered_bytes_peak", func() float64 { return float64(memory.Use().Peak) })
	set.NewGauge("celeryvalve_buffered_bytes_limit", func() float64 { return float64(memory.Use().Limit) })
	return &meters{
		set:           set,
		crossed:       set.NewCounter("celeryvalve_requests_on_closed_connections_total"),
		attempts:      set.NewCounter("celeryvalve_attempts_total"),
		events:        set.NewCounter("celeryvalve_stream_events_total"),
		crashes:       set.NewCounter("celeryvalve_upstream_crashes_total"),
		rests:         set.NewCounter("celeryvalve_upstream_rests_total"),
		evacuated:     set.NewGauge("celeryvalve_evacuated_zones", nil),
		coldChanges:   set.NewCounter("celeryvalve_upstream_cold_total"),
		coldAttempts:  set.NewCounter("celeryvalve_cold_attempts_total"),
		heldTokens:    set.NewCounter("celeryvalve_prompt_tokens_held_total"),
		heldPrompts:   set.NewCounter("celeryvalve_prompts_held_total"),
		firstByte:     set.NewHistogram("celeryvalve_first_byte_seconds"),
		slowUpstreams: set.NewCounter("celeryvalve_upstreams_found_slow_total"),
		bodiesRefused: set.NewCounter("celeryvalve_request_bodies_without_memory_total"),
		longestPause:  set.NewHistogram("celeryvalve_stream_longest_pause_seconds"),
	}
}

func (m *meters) countResponse(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_answers_total{status="%d"}`, status)).Inc()
}

// recordForecastError records by how much a first byte came later or earlier than forecast.
func (m *meters) recordForecastError(service string, late time.Duration) {
	sign := "late"
	if late < 0 {
		sign = "early"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`celeryvalve_forecast_error_seconds{service=%q,sign=%q}`, service, sign)).Update(late.Abs().Seconds())
}

func (m *meters) countRefusal(reason balancer.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_refusals_total{reason=%q}`, reason)).Inc()
}

// countHomeRefusal counts a refusal of a request that has homes.
func (m *meters) countHomeRefusal(reason balancer.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_refusals_with_homes_total{reason=%q}`, reason)).Inc()
}

// countPrompt counts the tokens of prompts that upstreams hold already, and the prompts of
// which parts are ignored.
func (m *meters) countPrompt(send balancer.Send) {
	if send.HeldTokens > 0 {
		m.heldTokens.Add(send.HeldTokens)
		m.heldPrompts.Inc()
	}
	if send.IgnoredParts != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_prompt_parts_ignored_total{reason=%q}`, send.IgnoredParts)).Inc()
	}
}

// countAdmission counts the decision whether a request is begun, and records the gate in
// force for its class.
func (m *meters) countAdmission(q *balancer.Request, a balancer.Admission) {
	if a.Class == "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_admissions_total{route=%q,class=%q,admitted="%t"}`, q.Route, a.Class, a.Admitted())).Inc()
	m.set.GetOrCreateGauge(fmt.Sprintf(`celeryvalve_admission_threshold{service=%q}`, q.Service), nil).Set(a.Threshold)
}

func (m *meters) countBreak(cause balancer.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_attempts_broken_total{cause=%q}`, cause)).Inc()
}

// countSilence counts an upstream that was silent, and whether another one was tried.
func (m *meters) countSilence(another bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_silent_upstreams_total{another="%t"}`, another)).Inc()
}
