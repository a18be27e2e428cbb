package reporter

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/router"
)

// Answer is what an entry knows of one request that it answered.
type Answer struct {
	Service      identifier.Service
	Organisation identifier.Organisation
	Outcome      router.Outcome
	// Left says that the caller went away before its answer was whole.
	Left bool
	// FirstToken is the time to the first byte; zero without one.
	FirstToken time.Duration
	// Gaps are the times between the parts of the answer that follow.
	Gaps []time.Duration
}

// Tally counts good and bad events at the process that sees them, against the
// objectives of the configuration in force. It is safe for concurrent use.
type Tally struct {
	set *metrics.Set

	mu       sync.Mutex
	services map[identifier.Service]configurer.Service
	counts   map[seriesKey]counts
}

// NewTally returns a tally that also shows its counters in set.
func NewTally(set *metrics.Set) *Tally {
	return &Tally{set: set, counts: make(map[seriesKey]counts)}
}

// Follow judges what comes by the objectives of the configuration.
func (t *Tally) Follow(cfg configurer.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = cfg.Services
}

// Answered counts one answer. A service that is not declared counts nothing.
func (t *Tally) Answered(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service, ok := t.services[a.Service]
	if !ok {
		return
	}
	t.count(a, Exactness, a.Left || a.Outcome != router.Unknown)
	if a.Left {
		return // nobody waited for it: it was neither in time nor late
	}
	t.count(a, ReadyInTime, a.Outcome == router.Completed)
	if service.Kind != parser.Engine || a.Outcome != router.Completed {
		return
	}
	if a.FirstToken > 0 {
		t.count(a, FirstToken, a.FirstToken <= service.Objectives.FirstToken)
	}
	for _, gap := range a.Gaps {
		t.count(a, BetweenTokens, gap <= service.Objectives.BetweenTokens)
	}
}

func (t *Tally) count(a Answer, indicator Indicator, good bool) {
	key := seriesKey{a.Service, a.Organisation, indicator}
	c := t.counts[key]
	c.total++
	labels := fmt.Sprintf("{service=%q,organisation=%q,indicator=%q}", a.Service, a.Organisation, indicator)
	t.set.GetOrCreateCounter("celeryvalve_objective_events_total" + labels).Inc()
	if good {
		c.good++
		t.set.GetOrCreateCounter("celeryvalve_objective_good_events_total" + labels).Inc()
	}
	t.counts[key] = c
}

// Samples returns the counters.
func (t *Tally) Samples() []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := make([]Sample, 0, len(t.counts))
	for key, c := range t.counts {
		samples = append(samples, Sample{
			Service:      key.service,
			Organisation: key.organisation,
			Indicator:    key.indicator,
			Good:         c.good,
			Total:        c.total,
		})
	}
	return samples
}
