package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"celeryvalve/dialer"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/asserter"
)

// RunnerConfig holds the settings of a Runner.
type RunnerConfig struct {
	Loader Config
	// EngineURL is the base URL of the engine.
	EngineURL string
	// StateTimeout limits the time of one read of the engine's state.
	StateTimeout time.Duration
	// OrderTimeout limits the time of one order, including the load itself.
	OrderTimeout time.Duration
}

const (
	tickInterval = 100 * time.Millisecond
	eventBacklog = 64
)

// Runner executes the effects of one Loader and feeds it events.
type Runner struct {
	cfg    RunnerConfig
	clock  clockwork.Clock
	log    *zap.Logger
	files  *FileServer
	engine *engineClient
	events chan Event
	// OnEffect receives ServingChanged, Superseded and Failed effects, on the
	// goroutine of Run. It must be set before Run and must not block.
	OnEffect func(Effect)

	mu     sync.Mutex
	loader *Loader
}

// NewRunner returns a Runner that is not running. files serves the files that the
// orders refer to.
func NewRunner(cfg RunnerConfig, clock clockwork.Clock, files *FileServer, log *zap.Logger, a asserter.Asserter) *Runner {
	return &Runner{
		cfg:      cfg,
		clock:    clock,
		log:      log.Named("loader"),
		files:    files,
		engine:   &engineClient{base: cfg.EngineURL, client: &http.Client{Transport: dialer.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}},
		events:   make(chan Event, eventBacklog),
		OnEffect: func(Effect) {},
		loader:   New(cfg.Loader, a),
	}
}

// Send queues an event for the Loader. It blocks while the queue is full, and discards
// the event if ctx ends first.
func (r *Runner) Send(ctx context.Context, e Event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

// State returns the last state that the engine reported.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loader.State()
}

// Run processes events until ctx ends, then waits for requests in progress. It returns
// nil.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := r.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var e Event = Ticked{}
		select {
		case <-ctx.Done():
			return nil
		case e = <-r.events:
		case <-ticker.Chan():
		}
		for _, effect := range r.reduce(e) {
			r.execute(ctx, &wg, effect)
		}
	}
}

func (r *Runner) reduce(e Event) []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := e.(type) {
	case WeightsVerified:
		if !e.Weights.IsZero() {
			r.files.add(e.Weights)
		}
	case WeightsDropped:
		r.files.remove(e.Manifest)
	}
	return r.loader.Reduce(r.clock.Now(), e)
}

func (r *Runner) execute(ctx context.Context, wg *sync.WaitGroup, effect Effect) {
	switch e := effect.(type) {
	case PollState:
		wg.Go(func() { r.poll(ctx) })
	case SendOrder:
		r.log.Info("Sending an order.", zap.String("Kind", string(e.Kind)), zap.String("Version", string(e.Version)),
			zap.Uint64("FencingToken", uint64(e.Token)))
		wg.Go(func() { r.sendOrder(ctx, e) })
	case Failed:
		r.log.Warn("Order failed.", zap.String("Kind", string(e.Kind)), zap.String("Problem", e.Problem))
		r.OnEffect(effect)
	default:
		r.OnEffect(effect)
	}
}

func (r *Runner) poll(ctx context.Context) {
	requestedAt := r.clock.Now()
	requestCtx, cancel := context.WithTimeout(ctx, r.cfg.StateTimeout)
	defer cancel()
	state, err := r.engine.state(requestCtx)
	if err != nil {
		r.Send(ctx, StateUnknown{})
		return
	}
	r.Send(ctx, StateObserved{State: state, RequestedAt: requestedAt})
}

func (r *Runner) sendOrder(ctx context.Context, o SendOrder) {
	timeout := r.cfg.OrderTimeout
	if !o.Expires.IsZero() {
		timeout = min(timeout, o.Expires.Sub(r.clock.Now()))
	}
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.Send(ctx, r.engine.sendOrder(requestCtx, o, r.files))
}
