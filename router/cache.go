package router

const (
	maxCachedPrefixes  = 4096
	maxAffinityLoad    = 1.25
	affinityCostFactor = 0.5
	// eventsPerBlock is the number of events that a full cache emits for each new
	// block: one for the block stored and one for the block evicted.
	eventsPerBlock = 2
)

// prefixCache estimates which prefixes an engine holds in its prefix cache: those
// that this entry sent to it, each until the engine has stored as many new blocks
// as its cache holds. Cache events arrive late and with gaps, so only their count
// is used.
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

// report takes in the engine's event count. A count lower than the last one comes
// from an engine that restarted with an empty cache, or arrives out of order;
// either way the recorded prefixes are dropped.
func (c *prefixCache) report(e CacheReport) {
	if e.Sequence == 0 {
		return
	}
	if e.Sequence < c.sequence {
		clear(c.used)
	}
	c.sequence, c.held = e.Sequence, e.Held
}

// add records prefixes that the engine has just processed.
func (c *prefixCache) add(prefixes []PrefixHash) {
	for _, h := range prefixes {
		c.order++
		c.used[h] = prefixUse{sequence: c.sequence, order: c.order}
	}
	if len(c.used) > maxCachedPrefixes {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	cutoff := c.order - min(c.order, maxCachedPrefixes/2)
	for h, use := range c.used {
		if use.order <= cutoff {
			delete(c.used, h)
		}
	}
}

// match returns the share of the prefixes that the engine is estimated to hold,
// counted from the first one up to the first that is missing.
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

// turnedOver reports whether the engine has stored as many blocks since the use as
// its cache holds.
func (c *prefixCache) turnedOver(use prefixUse) bool {
	return c.held > 0 && (c.sequence-use.sequence)/eventsPerBlock >= c.held
}
