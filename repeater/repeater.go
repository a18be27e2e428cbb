package repeater

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Repeater runs one function at intervals, never twice at once.
type Repeater struct {
	clock    clockwork.Clock
	interval time.Duration
	run      func(ctx context.Context)

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a repeater that is not started.
func New(clock clockwork.Clock, interval time.Duration, run func(ctx context.Context)) *Repeater {
	return &Repeater{clock: clock, interval: interval, run: run}
}

// Start begins; the first run comes after one interval.
func (r *Repeater) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.loop(ctx) })
}

// Stop ends the context of a run in progress and waits for it.
func (r *Repeater) Stop() {
	if r.cancel != nil {
		r.cancel()
	}
	r.done.Wait()
}

func (r *Repeater) loop(ctx context.Context) {
	ticker := r.clock.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.run(ctx)
		}
	}
}
