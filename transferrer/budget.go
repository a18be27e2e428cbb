package transferrer

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"celeryvalve/identifier"
)

const (
	// maxBurst is the largest burst, in bytes.
	maxBurst = 256 << 10
	// minBurst is the smallest burst, in bytes. It holds one or two datagrams, so
	// that a slow link sends whole ones.
	minBurst = 4 << 10
	// burstTime is how long one burst may occupy a link: half of the interval in
	// which a token of a live request must pass.
	burstTime = 20 * time.Millisecond
)

// rateLimiter limits a transfer rate with a token bucket.
type rateLimiter struct {
	limiter *rate.Limiter
}

// newRateLimiter returns a limiter for r. Zero is unlimited.
func newRateLimiter(r identifier.BytesPerSecond) *rateLimiter {
	return &rateLimiter{limiter: rate.NewLimiter(limitFor(r), burstFor(r))}
}

func limitFor(r identifier.BytesPerSecond) rate.Limit {
	if r <= 0 {
		return rate.Inf
	}
	return rate.Limit(r)
}

func burstFor(r identifier.BytesPerSecond) int {
	if r <= 0 {
		return maxBurst
	}
	return int(min(maxBurst, max(minBurst, float64(r)*burstTime.Seconds())))
}

// set changes the rate. Zero is unlimited.
func (l *rateLimiter) set(r identifier.BytesPerSecond) {
	l.limiter.SetBurst(burstFor(r))
	l.limiter.SetLimit(limitFor(r))
}

// wait blocks until n bytes may be transferred. It returns an error if ctx ends
// first.
func (l *rateLimiter) wait(ctx context.Context, n int) error {
	for n > 0 {
		burst := min(n, l.limiter.Burst())
		if err := l.limiter.WaitN(ctx, burst); err != nil {
			return err
		}
		n -= burst
	}
	return nil
}
