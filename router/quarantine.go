package router

// maxLearnedSuspects bounds what an entry learns by itself.
const maxLearnedSuspects = 1024

// quarantine knows the requests that crash upstreams. What was in flight at a
// crash is suspected and runs alone next time; what then crashes an upstream
// alone is refused. It joins what this entry saw with the lists of control.
type quarantine struct {
	learned map[Fingerprint]bool
	listed  map[Fingerprint]bool
	refused map[Fingerprint]bool
}

func newQuarantine() quarantine {
	return quarantine{
		learned: make(map[Fingerprint]bool),
		listed:  make(map[Fingerprint]bool),
		refused: make(map[Fingerprint]bool),
	}
}

func (r *Reducer) changeQuarantine(e QuarantineChanged) {
	c := &r.quarantine
	for f := range c.refused {
		delete(c.learned, f)
	}
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
	return f != 0 && (c.learned[f] || c.listed[f])
}

func (c *quarantine) refuses(f Fingerprint) bool {
	return f != 0 && c.refused[f]
}

// crashed takes in that the upstream crashed while the request ran.
func (c *quarantine) crashed(f Fingerprint, alone bool) {
	switch {
	case f == 0:
	case alone:
		c.refused[f] = true
	case len(c.learned) < maxLearnedSuspects:
		c.learned[f] = true
	}
}

func (c *quarantine) refuse(f Fingerprint) {
	if f != 0 {
		c.refused[f] = true
	}
}

// completed clears a suspect that ran without a crash.
func (c *quarantine) completed(f Fingerprint) {
	delete(c.learned, f)
	delete(c.listed, f)
}
