package transferrer

import (
	"context"

	"golang.org/x/time/rate"

	"celeryvalve/identifier"
)

// burst is how much may pass a budget at once, in bytes.
const burst = 256 << 10

// budget bounds a rate of transfer.
type budget struct {
	limiter *rate.Limiter
}

// newBudget returns a budget of the rate. Zero is unlimited.
func newBudget(r identifier.BytesPerSecond) *budget {
	return &budget{limiter: rate.NewLimiter(limitOf(r), burst)}
}

func limitOf(r identifier.BytesPerSecond) rate.Limit {
	if r <= 0 {
		return rate.Inf
	}
	return rate.Limit(r)
}

// set changes the rate.
func (b *budget) set(r identifier.BytesPerSecond) {
	b.limiter.SetLimit(limitOf(r))
}

// wait blocks until n bytes may pass.
func (b *budget) wait(ctx context.Context, n int) error {
	for n > 0 {
		piece := min(n, burst)
		if err := b.limiter.WaitN(ctx, piece); err != nil {
			return err
		}
		n -= piece
	}
	return nil
}
