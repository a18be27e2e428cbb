package repeater

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// SleepUntil waits for the time, or returns the error of ctx once that ends.
func SleepUntil(ctx context.Context, clock clockwork.Clock, at time.Time) error {
	return Sleep(ctx, clock, at.Sub(clock.Now()))
}

// Sleep waits for as long, or returns the error of ctx once that ends.
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
