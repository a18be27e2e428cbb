package submitter

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"celeryvalve/explainer"
)

// account records which replicas one submission has called, and how each call ended.
type account struct {
	begun    time.Time
	believed netip.AddrPort // the leader that was known at the beginning, if any
	calls    []string
}

// maxLoggedCalls bounds the calls in one line of the log. The first ones are kept.
const maxLoggedCalls = 16

// add records a call that has ended.
func (a *account) add(addr netip.AddrPort, took time.Duration, answer any, err error) {
	if len(a.calls) == maxLoggedCalls {
		return
	}
	outcome := "answered"
	refused, isRefusal := answer.(*Refused)
	switch {
	case err != nil:
		outcome = "no answer: " + err.Error()
	case isRefusal && refused.Leader.IsValid():
		outcome = fmt.Sprintf("names %s as the leader", refused.Leader)
	case isRefusal:
		outcome = "refused: " + refused.Problem
	}
	a.calls = append(a.calls, fmt.Sprintf("%s, %d ms: %s", addr, took.Milliseconds(), outcome))
}

// submitterMetrics are the metrics of all submissions of a process.
type submitterMetrics struct {
	seconds     *metrics.Histogram
	unavailable *metrics.Counter
}

func newMetrics(set *metrics.Set) submitterMetrics {
	return submitterMetrics{
		seconds:     set.GetOrCreateHistogram("celeryvalve_submission_seconds"),
		unavailable: set.GetOrCreateCounter("celeryvalve_submissions_unavailable_total"),
	}
}

// report measures a submission, and logs one that no leader has answered.
func (s *Submitter) report(a *account, err error) {
	took := s.clock.Since(a.begun)
	s.metrics.seconds.Update(took.Seconds())
	if explainer.KindOf(err) != explainer.Unavailable {
		return
	}
	s.metrics.unavailable.Inc()
	s.log.Warn("No leader answered.", zap.Duration("took", took), zap.Stringer("believed", a.believed), zap.Strings("calls", a.calls))
}
