package repeater

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// SleepUntil waits until the given time. It returns the error of ctx if that ends
// first.
func SleepUntil(ctx context.Context, clock clockwork.Clock, at time.Time) error {
	return Sleep(ctx, clock, at.Sub(clock.Now()))
}

// Sleep waits for the duration d, or not at all if d is not positive. It returns the
// error of ctx if that ends first.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
