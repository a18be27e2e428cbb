package router

const (
	maxCachedPrefixes  = 4096
	maxAffinityLoad    = 1.25
	affinityCostFactor = 0.5
)

// prefixCache is what the entry believes an engine holds in its prefix cache.
// Events come late and with gaps: after a gap, nothing that was learned before
// it is trusted.
type prefixCache struct {
	sequence uint64
	held     map[PrefixHash]uint64
	order    uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{held: make(map[PrefixHash]uint64)}
}

// report takes in one report of the engine. An older one changes nothing.
func (c *prefixCache) report(e CacheReport) {
	if e.Sequence == 0 || e.Sequence <= c.sequence {
		return
	}
	if e.Sequence != c.sequence+1 {
		clear(c.held)
	}
	c.sequence = e.Sequence
	c.add(e.Stored)
	for _, h := range e.Removed {
		delete(c.held, h)
	}
}

// add takes in prefixes that the engine has just run.
func (c *prefixCache) add(prefixes []PrefixHash) {
	for _, h := range prefixes {
		c.order++
		c.held[h] = c.order
	}
	for len(c.held) > maxCachedPrefixes {
		c.dropOldest()
	}
}

func (c *prefixCache) dropOldest() {
	floor := c.order - min(c.order, maxCachedPrefixes/2)
	for h, at := range c.held {
		if at <= floor {
			delete(c.held, h)
		}
	}
}

// match returns the share of the prefixes, counted from the first, that is held.
func (c *prefixCache) match(prefixes []PrefixHash) float64 {
	if len(prefixes) == 0 {
		return 0
	}
	n := 0
	for _, h := range prefixes {
		if _, ok := c.held[h]; !ok {
			break
		}
		n++
	}
	return float64(n) / float64(len(prefixes))
}
