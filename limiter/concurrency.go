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
	// Tolerance is the ratio of latency to its floor that still counts as uncongested.
	Tolerance float64
	// Decrease is the factor applied to the limit when it is congested.
	Decrease float64
	// Window is the time over which latencies are gathered for one decision.
	Window time.Duration
	// FloorDecay is the time after which a floor that is not met again is raised.
	FloorDecay time.Duration
}

// DefaultConcurrencyConfig returns the configuration that suits an upstream of
// unknown capacity.
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

// Concurrency finds how many requests an upstream can run at once. In each
// window it compares the mean latency with the lowest mean seen: the limit grows
// by the root of itself while it is used and latency stays near the floor, and
// shrinks by a factor when latency exceeds the tolerance.
type Concurrency struct {
	cfg     ConcurrencyConfig
	limit   float64
	floor   time.Duration
	floorAt time.Time
	opened  time.Time
	sum     time.Duration
	count   int
	peak    int
}

// NewConcurrency returns a limit at its initial value.
func NewConcurrency(cfg ConcurrencyConfig) *Concurrency {
	return &Concurrency{cfg: cfg, limit: float64(cfg.Initial)}
}

// Limit returns how many requests may run at once.
func (c *Concurrency) Limit() int {
	return max(c.cfg.Min, int(c.limit))
}

// Observe takes in one finished request: its latency and how many ran beside it.
func (c *Concurrency) Observe(now time.Time, latency time.Duration, inFlight int) {
	if c.count == 0 {
		c.opened = now
	}
	c.sum += latency
	c.count++
	c.peak = max(c.peak, inFlight)
	if now.Sub(c.opened) >= c.cfg.Window {
		c.decide(now)
	}
}

// Congested takes in a direct sign of congestion: work waits inside the
// upstream, or the upstream turned work away.
func (c *Concurrency) Congested() {
	c.shrink()
	c.reset()
}

// Reset forgets everything that was learned, as after a restart of the upstream.
func (c *Concurrency) Reset() {
	*c = Concurrency{cfg: c.cfg, limit: float64(c.cfg.Initial)}
}

func (c *Concurrency) decide(now time.Time) {
	mean := c.sum / time.Duration(c.count)
	c.lowerFloor(now, mean)
	switch {
	case float64(mean) > c.cfg.Tolerance*float64(c.floor):
		c.shrink()
	case float64(c.peak) >= c.limit/2:
		c.limit = min(float64(c.cfg.Max), c.limit+max(1, math.Sqrt(c.limit)/2))
	}
	c.reset()
}

func (c *Concurrency) lowerFloor(now time.Time, mean time.Duration) {
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

func (c *Concurrency) shrink() {
	c.limit = max(float64(c.cfg.Min), c.limit*c.cfg.Decrease)
}

func (c *Concurrency) reset() {
	c.sum, c.count, c.peak = 0, 0, 0
}
