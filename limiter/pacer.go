package limiter

import "time"

// Pacer spaces events evenly, so that no more than a rate of them happen. Time without
// events earns no burst: at most one event is always possible at once.
type Pacer struct {
	interval time.Duration
	last     time.Time // of the last event
	first    time.Time // before it no event is possible
}

// NewPacer returns a pacer of perSecond events whose first event is possible at first.
// perSecond must be positive.
func NewPacer(perSecond float64, first time.Time) *Pacer {
	p := &Pacer{first: first}
	p.SetRate(perSecond)
	return p
}

// SetRate changes the number of events per second.
func (p *Pacer) SetRate(perSecond float64) {
	p.interval = time.Duration(float64(time.Second) / perSecond)
}

// Ready reports whether an event is possible now.
func (p *Pacer) Ready(now time.Time) bool {
	return !now.Before(p.first) && now.Sub(p.last) >= p.interval
}

// UnusedFor returns for how long events have been possible without one.
func (p *Pacer) UnusedFor(now time.Time) time.Duration {
	possible := p.last.Add(p.interval)
	if possible.Before(p.first) {
		possible = p.first
	}
	return max(0, now.Sub(possible))
}

// Record records an event.
func (p *Pacer) Record(now time.Time) {
	p.last = now
}
