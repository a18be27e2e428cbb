package forwarder

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the forwarder's metrics.
type counters struct {
	set      *metrics.Set
	attempts *metrics.Counter
	asks     *metrics.Counter
	claims   *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return counters{
		set:      set,
		attempts: set.GetOrCreateCounter("celeryvalve_entry_attempts_total"),
		asks:     set.GetOrCreateCounter("celeryvalve_entry_asks_total"),
		claims:   set.GetOrCreateCounter("celeryvalve_entry_claims_total"),
	}
}

// countAnswer counts an answered request and records its duration.
func (c counters) countAnswer(o Observation) {
	name := fmt.Sprintf("celeryvalve_requests_total{service=%q,organisation=%q,outcome=%q,cause=%q}",
		o.Service, o.Organisation, o.Outcome, o.Cause)
	c.set.GetOrCreateCounter(name).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("celeryvalve_request_seconds{service=%q}", o.Service)).Update(o.Duration.Seconds())
}
