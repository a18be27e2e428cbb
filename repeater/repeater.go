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
	wake     chan struct{}

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a repeater that is not started.
func New(clock clockwork.Clock, interval time.Duration, run func(ctx context.Context)) *Repeater {
	return &Repeater{clock: clock, interval: interval, run: run, wake: make(chan struct{}, 1)}
}

// Start begins; the first run comes after one interval.
func (r *Repeater) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.loop(ctx) })
}

// Nudge has the function run soon, besides its intervals. Nudges that come before it
// runs are one.
func (r *Repeater) Nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
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
		case <-r.wake:
		}
		if ctx.Err() == nil {
			r.run(ctx)
		}
	}
}
