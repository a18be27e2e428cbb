package fetcher

import (
	"time"

	"celeryvalve/identifier"
)

const (
	// paceInterval is the least time between two changes of the budgets.
	paceInterval = time.Second
	// paceCut is the factor of the budgets while live requests are delayed.
	paceCut = 0.5
	// paceRise is the part of the full budgets that is given back at a time.
	paceRise = 0.1
	// paceFloor is the least part of the full budgets.
	paceFloor = 0.05
)

// pacer yields to live requests: it cuts the budgets by a factor while their
// delay is above the target and raises them by steps while it is below.
type pacer struct {
	cfg     Config
	part    float64
	changed time.Time
}

func newPacer(cfg Config) pacer {
	return pacer{cfg: cfg, part: 1}
}

// measured takes in a delay of live requests.
func (p *pacer) measured(now time.Time, delay time.Duration) []Effect {
	if now.Sub(p.changed) < paceInterval {
		return nil
	}
	part := min(1, p.part+paceRise)
	if delay > p.cfg.DelayTarget {
		part = max(paceFloor, p.part*paceCut)
	}
	if part == p.part {
		return nil
	}
	p.part = part
	p.changed = now
	return p.budgets()
}

// limit takes in the full budgets. The part of them that is in use stays.
func (p *pacer) limit(e BudgetsChanged) []Effect {
	p.cfg.UploadBudget = e.Upload
	p.cfg.DownloadBudget = e.Download
	return p.budgets()
}

func (p *pacer) budgets() []Effect {
	part := p.part
	return []Effect{SetBudgets{
		Upload:   p.cfg.UploadBudget * identifier.BytesPerSecond(part),
		Download: p.cfg.DownloadBudget * identifier.BytesPerSecond(part),
	}}
}

// allowance is a token bucket over the reducer's time.
type allowance struct {
	left float64
	at   time.Time
}

// take uses up one token if there is one.
func (a *allowance) take(now time.Time, rate, burst float64) bool {
	if !a.at.IsZero() {
		a.left = min(burst, a.left+rate*now.Sub(a.at).Seconds())
	}
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
