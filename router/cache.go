package router

const (
	maxCachedPrefixes  = 4096
	maxAffinityLoad    = 1.25
	affinityCostFactor = 0.5
	// eventsPerBlock is how many events a full cache sends for each new block: it
	// stores one and evicts one.
	eventsPerBlock = 2
)

// prefixCache is what the entry believes an engine holds in its prefix cache: the
// prefixes that this entry sent there, until the engine has turned its cache over
// once since. Events come late and with gaps, so only their count is used.
type prefixCache struct {
	sequence uint64
	held     uint64
	used     map[PrefixHash]prefixUse
	order    uint64
}

type prefixUse struct {
	sequence uint64
	order    uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{used: make(map[PrefixHash]prefixUse)}
}

// report takes in the engine's count of events. One that runs backwards comes
// from an engine that restarted with an empty cache, or late; either way what
// was learned before is not trusted.
func (c *prefixCache) report(e CacheReport) {
	if e.Sequence == 0 {
		return
	}
	if e.Sequence < c.sequence {
		clear(c.used)
	}
	c.sequence, c.held = e.Sequence, e.Held
}

// add takes in prefixes that the engine has just run.
func (c *prefixCache) add(prefixes []PrefixHash) {
	for _, h := range prefixes {
		c.order++
		c.used[h] = prefixUse{sequence: c.sequence, order: c.order}
	}
	if len(c.used) > maxCachedPrefixes {
		c.dropOldest()
	}
}

func (c *prefixCache) dropOldest() {
	floor := c.order - min(c.order, maxCachedPrefixes/2)
	for h, use := range c.used {
		if use.order <= floor {
			delete(c.used, h)
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
		use, ok := c.used[h]
		if !ok || c.turnedOver(use) {
			break
		}
		n++
	}
	return float64(n) / float64(len(prefixes))
}

// turnedOver reports whether the engine stored as many blocks since the use as
// its cache holds.
func (c *prefixCache) turnedOver(use prefixUse) bool {
	return c.held > 0 && (c.sequence-use.sequence)/eventsPerBlock >= c.held
}
