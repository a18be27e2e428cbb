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
