package repeater

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Repeater runs a function at intervals. Runs never overlap.
type Repeater struct {
	clock    clockwork.Clock
	interval time.Duration
	run      func(ctx context.Context)
	trigger  chan struct{}

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a Repeater that calls run. Call Start to start it.
func New(clock clockwork.Clock, interval time.Duration, run func(ctx context.Context)) *Repeater {
	return &Repeater{clock: clock, interval: interval, run: run, trigger: make(chan struct{}, 1)}
}

// Start starts the background goroutine. The first run comes after one interval, or
// earlier if Trigger is called.
func (r *Repeater) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.loop(ctx) })
}

// Trigger requests a run as soon as possible, in addition to those at intervals.
// Several calls before that run request only one.
func (r *Repeater) Trigger() {
	select {
	case r.trigger <- struct{}{}:
	default:
	}
}

// Stop cancels the context of a run in progress and waits for its end. It may be
// called without Start.
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
		case <-r.trigger:
		}
		if ctx.Err() == nil {
			r.run(ctx)
		}
	}
}
