package repeater

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// SleepUntil waits for the time, or returns the error of ctx once that ends.
func SleepUntil(ctx context.Context, clock clockwork.Clock, at time.Time) error {
	wait := at.Sub(clock.Now())
	if wait <= 0 {
		return ctx.Err()
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
