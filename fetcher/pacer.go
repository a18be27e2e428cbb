package fetcher

import (
	"time"

	"celeryvalve/identifier"
)

const (
	// paceInterval is the minimum time between two changes of the budgets.
	paceInterval = time.Second
	// paceDecreaseFactor multiplies the budgets while live requests are delayed.
	paceDecreaseFactor = 0.5
	// paceIncreaseStep is the fraction of the full budgets that each increase adds.
	paceIncreaseStep = 0.1
	// paceMinFraction is the minimum fraction of the full budgets.
	paceMinFraction = 0.05
)

// pacer slows transfers down in favour of live requests: it multiplies the budgets
// by a factor while the delay of live requests is above the target, and raises them
// in steps otherwise.
type pacer struct {
	cfg      Config
	fraction float64 // of the full budgets
	changed  time.Time
}

func newPacer(cfg Config) pacer {
	return pacer{cfg: cfg, fraction: 1}
}

// delayMeasured adapts the budgets to the delay of live requests.
func (p *pacer) delayMeasured(now time.Time, delay time.Duration) []Effect {
	if now.Sub(p.changed) < paceInterval {
		return nil
	}
	fraction := min(1, p.fraction+paceIncreaseStep)
	if delay > p.cfg.DelayTarget {
		fraction = max(paceMinFraction, p.fraction*paceDecreaseFactor)
	}
	if fraction == p.fraction {
		return nil
	}
	p.fraction = fraction
	p.changed = now
	return p.budgets()
}

// budgetsChanged sets the full budgets. The fraction of them in use stays the same.
func (p *pacer) budgetsChanged(e BudgetsChanged) []Effect {
	p.cfg.UploadRate = e.Upload
	p.cfg.DownloadRate = e.Download
	return p.budgets()
}

func (p *pacer) budgets() []Effect {
	fraction := p.fraction
	return []Effect{SetBudgets{
		Upload:   p.cfg.UploadRate * identifier.BytesPerSecond(fraction),
		Download: p.cfg.DownloadRate * identifier.BytesPerSecond(fraction),
	}}
}

// tokenBucket is a token bucket that gets the time from its caller.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take removes one token, or reports false if there is none.
func (b *tokenBucket) take(now time.Time, rate, burst float64) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
