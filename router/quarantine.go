package router

import "time"

const (
	// maxLearned bounds what an entry learns by itself.
	maxLearned = 1024
	// learnedRetention is how long it counts beside the lists of control, which
	// have it by then unless it was cleared.
	learnedRetention = time.Minute
)

// quarantine knows the requests that crash upstreams. What was in flight at a
// crash is suspected and runs alone next time; what then crashes an upstream
// alone is refused. It joins what this entry saw with the lists of control.
type quarantine struct {
	listed  map[Fingerprint]bool
	refused map[Fingerprint]bool
	learned map[Fingerprint]lesson
}

// lesson is what this entry saw of one request.
type lesson struct {
	refused bool
	until   time.Time
}

func newQuarantine() quarantine {
	return quarantine{
		listed:  make(map[Fingerprint]bool),
		refused: make(map[Fingerprint]bool),
		learned: make(map[Fingerprint]lesson),
	}
}

func (r *Reducer) changeQuarantine(e QuarantineChanged) {
	c := &r.quarantine
	clear(c.listed)
	clear(c.refused)
	for _, f := range e.Suspects {
		c.listed[f] = true
	}
	for _, f := range e.Refused {
		c.refused[f] = true
	}
}

func (c *quarantine) suspects(f Fingerprint) bool {
	_, learned := c.learned[f]
	return f != 0 && (learned || c.listed[f])
}

func (c *quarantine) refuses(f Fingerprint) bool {
	return f != 0 && (c.refused[f] || c.learned[f].refused)
}

// crashed takes in that the upstream crashed while the request ran.
func (c *quarantine) crashed(f Fingerprint, alone bool, now time.Time) {
	if f == 0 || (len(c.learned) >= maxLearned && !c.suspects(f)) {
		return
	}
	c.learned[f] = lesson{refused: alone || c.refuses(f), until: now.Add(learnedRetention)}
}

// refuse takes in that an agent refused the request as one that crashes upstreams.
func (c *quarantine) refuse(f Fingerprint, now time.Time) {
	c.crashed(f, true, now)
}

// completed clears a suspect that ran without a crash.
func (c *quarantine) completed(f Fingerprint) {
	if c.refuses(f) {
		return
	}
	delete(c.learned, f)
	delete(c.listed, f)
}

// expire forgets what is left to the lists of control.
func (c *quarantine) expire(now time.Time) {
	for f, l := range c.learned {
		if !l.until.After(now) {
			delete(c.learned, f)
		}
	}
}
