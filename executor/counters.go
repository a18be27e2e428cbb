package executor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/admitter"
	"celeryvalve/router"
)

type counters struct {
	set     *metrics.Set
	crashes *metrics.Counter
	started *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return counters{
		set:     set,
		crashes: set.GetOrCreateCounter("celeryvalve_upstream_crashes_total"),
		started: set.GetOrCreateCounter("celeryvalve_attempts_started_total"),
	}
}

func (c counters) countRefused(reason router.RefuseReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("celeryvalve_attempts_refused_total{reason=%q}", reason)).Inc()
}

func (c counters) countEnded(kind admitter.EndKind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("celeryvalve_attempts_ended_total{kind=%q}", kind)).Inc()
}
