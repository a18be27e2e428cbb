package placer

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// progressLogInterval is the shortest pause between two lines on one release.
const progressLogInterval = time.Second

// progress counts how many engines of a model serve the wanted release, are out for it or
// wait with an older one.
type progress struct {
	Serving, Out, Waiting int
}

func (p progress) isDone() bool { return p.Out == 0 && p.Waiting == 0 }

// countProgress counts the engines of the services that serve the model. Those that
// have fallen silent are left out.
func countProgress(d declarer.Declaration, model identifier.Model, wanted declarer.ReleaseNumber, known []registrar.KnownUpstream) progress {
	var p progress
	for _, k := range known {
		engine := d.Services[k.Service].Engine
		if engine == nil || engine.Model != model || k.Stale {
			continue
		}
		switch serves := k.Serves(); {
		case serves >= wanted:
			p.Serving++
		case serves == 0:
			p.Out++
		default:
			p.Waiting++
		}
	}
	return p
}

// progressReporter shows the progress of releases in metrics and in the log.
type progressReporter struct {
	set *metrics.Set
	log *zap.Logger

	// last and loggedAt are used only by the goroutine that calls report.
	last     map[identifier.Model]loggedProgress
	loggedAt map[identifier.Model]time.Time

	mu     sync.Mutex
	latest map[identifier.Model]progress
}

type loggedProgress struct {
	progress
	release declarer.ReleaseNumber
}

func newProgressReporter(set *metrics.Set, log *zap.Logger) *progressReporter {
	return &progressReporter{
		set: set, log: log,
		last:     make(map[identifier.Model]loggedProgress),
		loggedAt: make(map[identifier.Model]time.Time),
		latest:   make(map[identifier.Model]progress),
	}
}

// report logs the progress whenever it has changed, at most once in progressLogInterval.
func (r *progressReporter) report(now time.Time, model identifier.Model, wanted declarer.ReleaseNumber, p progress) {
	r.expose(model, p)
	next := loggedProgress{progress: p, release: wanted}
	if next == r.last[model] || now.Sub(r.loggedAt[model]) < progressLogInterval {
		return
	}
	previous := r.last[model]
	r.last[model], r.loggedAt[model] = next, now
	if p.isDone() && previous.release == wanted && previous.isDone() {
		return // engines only came or went
	}
	r.log.Info("A release goes on.", zap.String("model", string(model)), zap.Uint64("release", uint64(wanted)),
		zap.Int("serving", p.Serving), zap.Int("out", p.Out), zap.Int("waiting", p.Waiting))
}

func (r *progressReporter) expose(model identifier.Model, p progress) {
	r.mu.Lock()
	_, known := r.latest[model]
	r.latest[model] = p
	r.mu.Unlock()
	if known {
		return
	}
	for state, count := range map[string]func(progress) int{
		"Serving": func(p progress) int { return p.Serving },
		"Out":     func(p progress) int { return p.Out },
		"Waiting": func(p progress) int { return p.Waiting },
	} {
		name := fmt.Sprintf(`celeryvalve_release_engines{model=%q,state=%q}`, model, state)
		r.set.NewGauge(name, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return float64(count(r.latest[model]))
		})
	}
}
