package router

import (
	"time"

	"celeryvalve/quarantiner"
)

const (
	// maxObserved bounds how many fingerprints an entry keeps from its own
	// observation.
	maxObserved = 1024
	// observedRetention is how long an entry's own observation counts beside the
	// lists of the control plane, which contain it by then unless it was cleared.
	observedRetention = time.Minute
)

// quarantine tracks the fingerprints of requests that crash upstreams. A request
// that was in flight at a crash is a suspect and runs alone the next time; if it
// then crashes an upstream alone, it is refused. The quarantine combines what this
// entry observed with the lists of the control plane.
type quarantine struct {
	suspected map[quarantiner.Fingerprint]bool
	refused   map[quarantiner.Fingerprint]bool
	observed  map[quarantiner.Fingerprint]observation
}

// observation is what this entry recorded about one fingerprint.
type observation struct {
	refused bool
	until   time.Time
}

func newQuarantine() quarantine {
	return quarantine{
		suspected: make(map[quarantiner.Fingerprint]bool),
		refused:   make(map[quarantiner.Fingerprint]bool),
		observed:  make(map[quarantiner.Fingerprint]observation),
	}
}

func (r *Reducer) changeQuarantine(e QuarantineChanged) {
	c := &r.quarantine
	clear(c.suspected)
	clear(c.refused)
	for _, f := range e.Suspects {
		c.suspected[f] = true
	}
	for _, f := range e.Refused {
		c.refused[f] = true
	}
}

func (c *quarantine) suspects(f quarantiner.Fingerprint) bool {
	_, observed := c.observed[f]
	return f != 0 && (observed || c.suspected[f])
}

func (c *quarantine) refuses(f quarantiner.Fingerprint) bool {
	return f != 0 && (c.refused[f] || c.observed[f].refused)
}

// crashed records that the upstream crashed while the request ran.
func (c *quarantine) crashed(f quarantiner.Fingerprint, alone bool, now time.Time) {
	if f == 0 || (len(c.observed) >= maxObserved && !c.suspects(f)) {
		return
	}
	c.observed[f] = observation{refused: alone || c.refuses(f), until: now.Add(observedRetention)}
}

// refuse records that an agent refused the request as one that crashes upstreams.
func (c *quarantine) refuse(f quarantiner.Fingerprint, now time.Time) {
	c.crashed(f, true, now)
}

// completed clears a suspect that ran without a crash.
func (c *quarantine) completed(f quarantiner.Fingerprint) {
	if c.refuses(f) {
		return
	}
	delete(c.observed, f)
	delete(c.suspected, f)
}

// expire drops observations whose retention is over, which leaves them to the lists
// of the control plane.
func (c *quarantine) expire(now time.Time) {
	for f, o := range c.observed {
		if !o.until.After(now) {
			delete(c.observed, f)
		}
	}
}
