package transferrer

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"celeryvalve/identifier"
)

const (
	// maxBurst is how much may pass a budget at once, in bytes.
	maxBurst = 256 << 10
	// minBurst is a datagram or two, so that a slow link gets whole ones.
	minBurst = 4 << 10
	// burstTime is how long a link may be kept busy at once: half of the pause in
	// which a token of a live request must pass.
	burstTime = 20 * time.Millisecond
)

// budget bounds a rate of transfer.
type budget struct {
	limiter *rate.Limiter
}

// newBudget returns a budget of the rate. Zero is unlimited.
func newBudget(r identifier.BytesPerSecond) *budget {
	return &budget{limiter: rate.NewLimiter(limitOf(r), burstOf(r))}
}

func limitOf(r identifier.BytesPerSecond) rate.Limit {
	if r <= 0 {
		return rate.Inf
	}
	return rate.Limit(r)
}

func burstOf(r identifier.BytesPerSecond) int {
	if r <= 0 {
		return maxBurst
	}
	return int(min(maxBurst, max(minBurst, float64(r)*burstTime.Seconds())))
}

// set changes the rate.
func (b *budget) set(r identifier.BytesPerSecond) {
	b.limiter.SetBurst(burstOf(r))
	b.limiter.SetLimit(limitOf(r))
}

// wait blocks until n bytes may pass.
func (b *budget) wait(ctx context.Context, n int) error {
	for n > 0 {
		piece := min(n, b.limiter.Burst())
		if err := b.limiter.WaitN(ctx, piece); err != nil {
			return err
		}
		n -= piece
	}
	return nil
}
