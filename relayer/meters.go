package relayer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/balancer"
)

// meters holds the relayer's metrics.
type meters struct {
	set           *metrics.Set
	connections   *metrics.Counter
	attempts      *metrics.Counter
	events        *metrics.Counter
	crashes       *metrics.Counter
	rests         *metrics.Counter
	heldTokens    *metrics.Counter
	heldPrompts   *metrics.Counter
	firstByte     *metrics.Histogram
	forecastError *metrics.Histogram
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:           set,
		connections:   set.NewCounter("celeryvalve_caller_connections_total"),
		attempts:      set.NewCounter("celeryvalve_attempts_total"),
		events:        set.NewCounter("celeryvalve_stream_events_total"),
		crashes:       set.NewCounter("celeryvalve_upstream_crashes_total"),
		rests:         set.NewCounter("celeryvalve_upstream_rests_total"),
		heldTokens:    set.NewCounter("celeryvalve_prompt_tokens_held_total"),
		heldPrompts:   set.NewCounter("celeryvalve_prompts_held_total"),
		firstByte:     set.NewHistogram("celeryvalve_first_byte_seconds"),
		forecastError: set.NewHistogram("celeryvalve_forecast_error_seconds"),
	}
}

func (m *meters) countResponse(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_answers_total{status="%d"}`, status)).Inc()
}

func (m *meters) countRefusal(reason balancer.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_refusals_total{reason=%q}`, reason)).Inc()
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

func (m *meters) countBreak(cause balancer.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_attempts_broken_total{cause=%q}`, cause)).Inc()
}
