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

// Answer describes one request that an entry has answered.
type Answer struct {
	Service      identifier.Service
	Organisation identifier.Organisation
	Outcome      router.Outcome
	// CallerGone is true if the caller disconnected before the answer was complete.
	CallerGone bool
	// FirstToken is the time to the first part of the body; zero if there was none.
	FirstToken time.Duration
	// Gaps are the times between consecutive parts of the body.
	Gaps []time.Duration
}

// Tally counts the good and the bad events of one process by the objectives of the
// current configuration. It is safe for concurrent use.
type Tally struct {
	set *metrics.Set

	mu       sync.Mutex
	services map[identifier.Service]configurer.Service
	counts   map[seriesKey]counts
}

// NewTally returns a tally that also exports its counters as metrics of set.
func NewTally(set *metrics.Set) *Tally {
	return &Tally{set: set, counts: make(map[seriesKey]counts)}
}

// SetConfiguration sets the configuration by whose objectives later answers are counted.
func (t *Tally) SetConfiguration(cfg configurer.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = cfg.Services
}

// RecordAnswer counts the events of one answer. Answers of services that the configuration
// does not declare are ignored.
func (t *Tally) RecordAnswer(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service, ok := t.services[a.Service]
	if !ok {
		return
	}
	t.count(a, Exactness, a.CallerGone || a.Outcome != router.Unknown)
	if a.CallerGone {
		return // without a caller the answer was neither in time nor late
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

// Samples returns the current counters in no particular order.
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
