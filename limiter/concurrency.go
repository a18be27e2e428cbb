package limiter

import (
	"math"
	"time"
)

// ConcurrencyConfig sets the bounds and speed of an adaptive limit.
type ConcurrencyConfig struct {
	Min     int
	Max     int
	Initial int
	// Tolerance is the largest ratio of latency to its floor that counts as
	// uncongested.
	Tolerance float64
	// Decrease is the factor applied to the limit when it is congested.
	Decrease float64
	// Window is the time over which latencies are averaged for one adjustment.
	Window time.Duration
	// FloorDecay is the time after which a floor that was not reached again is
	// raised.
	FloorDecay time.Duration
}

// DefaultConcurrencyConfig returns the configuration for an upstream of unknown
// capacity.
func DefaultConcurrencyConfig() ConcurrencyConfig {
	return ConcurrencyConfig{
		Min:        1,
		Max:        512,
		Initial:    8,
		Tolerance:  1.4,
		Decrease:   0.8,
		Window:     500 * time.Millisecond,
		FloorDecay: time.Minute,
	}
}

// ConcurrencyLimit finds how many requests an upstream can run at once. In each window
// it compares the mean latency with its floor, the lowest mean seen. The limit
// grows by half its square root, and by one at least, while half of it or more is
// used and the latency is within the tolerance. It shrinks by a factor when the
// latency exceeds the tolerance.
type ConcurrencyLimit struct {
	cfg         ConcurrencyConfig
	limit       float64
	floor       time.Duration
	floorAt     time.Time
	windowStart time.Time
	sum         time.Duration
	count       int
	peak        int
}

// NewConcurrencyLimit returns a limiter that starts at the initial limit.
func NewConcurrencyLimit(cfg ConcurrencyConfig) *ConcurrencyLimit {
	return &ConcurrencyLimit{cfg: cfg, limit: float64(cfg.Initial)}
}

// Limit returns how many requests may run at once.
func (c *ConcurrencyLimit) Limit() int {
	return max(c.cfg.Min, int(c.limit))
}

// Observe records one finished request: its latency and how many ran at the same
// time.
func (c *ConcurrencyLimit) Observe(now time.Time, latency time.Duration, inFlight int) {
	if c.count == 0 {
		c.windowStart = now
	}
	c.sum += latency
	c.count++
	c.peak = max(c.peak, inFlight)
	if now.Sub(c.windowStart) >= c.cfg.Window {
		c.updateLimit(now)
	}
}

// Congested records a direct sign of congestion, such as work that waits inside the
// upstream or that the upstream rejected, and lowers the limit at once.
func (c *ConcurrencyLimit) Congested() {
	c.decreaseLimit()
	c.startWindow()
}

// Reset discards everything learned, as is needed after a restart of the upstream.
func (c *ConcurrencyLimit) Reset() {
	*c = ConcurrencyLimit{cfg: c.cfg, limit: float64(c.cfg.Initial)}
}

func (c *ConcurrencyLimit) updateLimit(now time.Time) {
	mean := c.sum / time.Duration(c.count)
	c.updateFloor(now, mean)
	switch {
	case float64(mean) > c.cfg.Tolerance*float64(c.floor):
		c.decreaseLimit()
	case float64(c.peak) >= c.limit/2:
		c.limit = min(float64(c.cfg.Max), c.limit+max(1, math.Sqrt(c.limit)/2))
	}
	c.startWindow()
}

func (c *ConcurrencyLimit) updateFloor(now time.Time, mean time.Duration) {
	expired := now.Sub(c.floorAt) > c.cfg.FloorDecay
	if c.floor == 0 || mean <= c.floor {
		c.floor, c.floorAt = mean, now
		return
	}
	if expired {
		c.floor += (mean - c.floor) / 4
		c.floorAt = now
	}
}

func (c *ConcurrencyLimit) decreaseLimit() {
	c.limit = max(float64(c.cfg.Min), c.limit*c.cfg.Decrease)
}

func (c *ConcurrencyLimit) startWindow() {
	c.sum, c.count, c.peak = 0, 0, 0
}
