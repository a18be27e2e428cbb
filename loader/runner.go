package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/asserter"
)

// RunnerConfig holds the settings of a Runner.
type RunnerConfig struct {
	Loader Config
	// Engine is the base URL of the engine.
	Engine string
	// StateTimeout bounds a look at the engine's state.
	StateTimeout time.Duration
	// OrderTimeout bounds an order, with the time that loading takes.
	OrderTimeout time.Duration
}

const (
	tickInterval = 100 * time.Millisecond
	eventBacklog = 64
)

// Runner is the shell around one Loader: it speaks to the engine.
type Runner struct {
	cfg    RunnerConfig
	clock  clockwork.Clock
	log    *zap.Logger
	files  *Files
	engine *engine
	events chan Event
	// OnEffect is told about ServingChanged, Superseded and Failed, on the
	// goroutine of Run. It must be set before Run and must not block.
	OnEffect func(Effect)

	mu     sync.Mutex
	loader *Loader
}

// NewRunner returns a Runner. files serves what the engine is told to read.
func NewRunner(cfg RunnerConfig, clock clockwork.Clock, files *Files, log *zap.Logger, a asserter.Asserter) *Runner {
	return &Runner{
		cfg:      cfg,
		clock:    clock,
		log:      log.Named("loader"),
		files:    files,
		engine:   &engine{base: cfg.Engine, client: &http.Client{}},
		events:   make(chan Event, eventBacklog),
		OnEffect: func(Effect) {},
		loader:   New(cfg.Loader, a),
	}
}

// Send hands an event to the reducer. It blocks while the backlog is full.
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

// Run works until the context ends, then waits for what is under way.
func (r *Runner) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
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
			r.carry(ctx, &group, effect)
		}
	}
}

func (r *Runner) reduce(e Event) []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := e.(type) {
	case WeightsVerified:
		if !e.Weights.IsZero() {
			r.files.offer(e.Weights)
		}
	case WeightsDropped:
		r.files.withdraw(e.Manifest)
	}
	return r.loader.Reduce(r.clock.Now(), e)
}

func (r *Runner) carry(ctx context.Context, group *sync.WaitGroup, effect Effect) {
	switch e := effect.(type) {
	case PollState:
		group.Go(func() { r.poll(ctx) })
	case SendOrder:
		r.log.Info("Order is given.", zap.String("Kind", string(e.Kind)), zap.String("Version", string(e.Version)),
			zap.Uint64("FencingToken", uint64(e.Token)))
		group.Go(func() { r.give(ctx, e) })
	case Failed:
		r.log.Warn("Order failed.", zap.String("Kind", string(e.Kind)), zap.String("Problem", e.Problem))
		r.OnEffect(effect)
	default:
		r.OnEffect(effect)
	}
}

func (r *Runner) poll(ctx context.Context) {
	asked := r.clock.Now()
	bounded, cancel := context.WithTimeout(ctx, r.cfg.StateTimeout)
	defer cancel()
	state, err := r.engine.state(bounded)
	if err != nil {
		r.Send(ctx, StateUnknown{})
		return
	}
	r.Send(ctx, StateObserved{State: state, Asked: asked})
}

func (r *Runner) give(ctx context.Context, o SendOrder) {
	timeout := r.cfg.OrderTimeout
	if !o.Expires.IsZero() {
		timeout = min(timeout, o.Expires.Sub(r.clock.Now()))
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.Send(ctx, r.engine.give(bounded, o, r.files))
}
