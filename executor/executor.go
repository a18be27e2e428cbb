package executor

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/admitter"
	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/repeater"
	"celeryvalve/router"
)

const (
	tickInterval      = 50 * time.Millisecond
	probeInterval     = 250 * time.Millisecond
	probeTimeout      = time.Second
	aliveInterval     = 500 * time.Millisecond
	dialTimeout       = 2 * time.Second
	reportTimeout     = 5 * time.Second
	maxFailedProbes   = 3
	defaultProgress   = 30 * time.Second
	maxResponseHeader = 256 << 10

	defaultMaxBody identifier.ByteCount = 8 << 20
)

// Config describes the upstream.
type Config struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Address is the HTTP address of the upstream.
	Address netip.AddrPort
	// ReportsLoad says that GET /state of the upstream tells its load.
	ReportsLoad bool
	// Concurrency fixes the number of requests at once. Zero lets the limiter find it.
	Concurrency int
	// EventStreamEnd is the data of the last event of every event stream. An event
	// stream that ends without it is not whole. Empty asks for none.
	EventStreamEnd string
	// ProgressTimeout is the longest time without a byte from the upstream.
	ProgressTimeout time.Duration
	// MaxBody bounds the body of a request.
	MaxBody identifier.ByteCount
}

// CrashReporter tells control about crashes and cleared suspects.
type CrashReporter interface {
	ReportCrash(ctx context.Context, report admitter.CrashReport) error
	ReportCleared(ctx context.Context, fingerprint router.Fingerprint) error
}

// Dependencies are what an executor works with.
type Dependencies struct {
	Claims  router.Claimer
	Crashes CrashReporter
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Check   asserter.Asserter
	Metrics *metrics.Set
}

// Executor is the agent's shell. It is safe for concurrent use.
type Executor struct {
	cfg     Config
	claims  router.Claimer
	crashes CrashReporter
	clock   clockwork.Clock
	logger  *zap.Logger
	count   counters
	cache   cacheMeter

	// once holds no idle connection, so that no request is ever sent again by the
	// HTTP client itself.
	once   *http.Client
	shared *http.Client

	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
	ticks   *repeater.Repeater
	settles sync.WaitGroup
	drained chan struct{}

	mu         sync.Mutex
	reducer    *admitter.Reducer
	runs       map[identifier.AttemptID]*run
	outlets    map[admitter.StreamID]*outlet
	nextStream admitter.StreamID
	gated      bool
	up         bool
	ready      bool
}

// New returns an executor that is not started. It takes no work until a probe
// found the upstream ready.
func New(cfg Config, deps Dependencies) *Executor {
	if cfg.ProgressTimeout == 0 {
		cfg.ProgressTimeout = defaultProgress
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	reducerConfig := admitter.Config{
		Upstream:    cfg.Upstream,
		Incarnation: cfg.Incarnation,
		ReportsLoad: cfg.ReportsLoad,
		Concurrency: concurrencyOf(cfg),
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		cfg:     cfg,
		claims:  deps.Claims,
		crashes: deps.Crashes,
		clock:   deps.Clock,
		logger:  deps.Logger.Named("executor"),
		count:   newCounters(deps.Metrics),
		once:    newClient(false),
		shared:  newClient(true),
		ctx:     ctx,
		cancel:  cancel,
		drained: make(chan struct{}),
		reducer: admitter.New(reducerConfig, deps.Check),
		runs:    make(map[identifier.AttemptID]*run),
		outlets: make(map[admitter.StreamID]*outlet),
	}
	x.ticks = repeater.New(deps.Clock, tickInterval, func(context.Context) { x.post(admitter.Ticked{}) })
	return x
}

func concurrencyOf(cfg Config) limiter.ConcurrencyConfig {
	c := limiter.DefaultConcurrencyConfig()
	if cfg.Concurrency > 0 {
		c.Min, c.Initial, c.Max = cfg.Concurrency, cfg.Concurrency, cfg.Concurrency
	}
	return c
}

// Start begins to probe the upstream.
func (x *Executor) Start() {
	x.ticks.Start()
	x.work.Add(1)
	go x.probeLoop()
	if x.cfg.ReportsLoad {
		x.work.Add(1)
		go x.watchCache()
	}
}

// Stop cancels everything that still runs and waits for it.
func (x *Executor) Stop() {
	x.cancel()
	x.ticks.Stop()
	x.work.Wait()
	x.once.CloseIdleConnections()
	x.shared.CloseIdleConnections()
}

// Drain refuses new work and waits until the last attempt is delivered and settled.
func (x *Executor) Drain(ctx context.Context) error {
	x.Leave()
	settled := make(chan struct{})
	go func() {
		<-x.drained
		x.settles.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return explainer.Wrap(ctx.Err(), explainer.Unavailable, "attempts still run at the end of the drain time",
			"raise the drain time, or accept that they are cut off")
	}
}

// Leave refuses new work from now on.
func (x *Executor) Leave() {
	x.post(admitter.Leave{})
}

// Gate holds back new work while closed, whatever the probes say. It is for the
// owner of the upstream's weights.
func (x *Executor) Gate(closed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gated = closed
	x.changeReady(false)
}

// ChangeQuarantine replaces the lists of suspect and refused fingerprints.
func (x *Executor) ChangeQuarantine(suspects, refused []router.Fingerprint) {
	x.post(admitter.QuarantineChanged{Suspects: suspects, Refused: refused})
}

// Running returns the requests whose attempts are queued or run here.
func (x *Executor) Running() []identifier.RequestID {
	x.mu.Lock()
	defer x.mu.Unlock()
	var requests []identifier.RequestID
	for _, r := range x.runs {
		if !r.ended() {
			requests = append(requests, r.start.Request)
		}
	}
	slices.Sort(requests)
	return requests
}

// Load returns the present load report.
func (x *Executor) Load() router.LoadReport {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reducer.Load()
}

// Ready reports whether new work would be taken.
func (x *Executor) Ready() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ready && !x.reducer.Load().Leaving
}

func (x *Executor) post(event admitter.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reduce(event)
}

// reduce feeds the reducer and carries out its effects. None of them blocks.
func (x *Executor) reduce(event admitter.Event) {
	for _, effect := range x.reducer.Reduce(x.clock.Now(), event) {
		x.carryOut(effect)
	}
}

func (x *Executor) carryOut(effect admitter.Effect) {
	switch e := effect.(type) {
	case admitter.Accept:
		x.tell(e.Stream, &e.Message)
	case admitter.Refuse:
		x.count.refused(e.Message.Reason)
		x.tell(e.Stream, &e.Message)
	case admitter.Gone:
		x.tell(e.Stream, &e.Message)
	case admitter.Attach:
		x.attach(e)
	case admitter.Run:
		x.begin(e.Attempt)
	case admitter.Stop:
		if r := x.runs[e.Attempt]; r != nil {
			r.stop()
		}
	case admitter.Forget:
		x.forget(e.Attempt)
	case admitter.ReportCrash:
		x.reportCrash(e.Report)
	case admitter.ReportCleared:
		x.reportCleared(e.Fingerprint)
	case admitter.Drained:
		close(x.drained)
	}
}

func (x *Executor) forget(id identifier.AttemptID) {
	if r := x.runs[id]; r != nil {
		r.cancel()
		delete(x.runs, id)
	}
}

func (x *Executor) tell(stream admitter.StreamID, msg any) {
	if o := x.outlets[stream]; o != nil {
		o.push(command{message: msg})
	}
}

func (x *Executor) attach(e admitter.Attach) {
	o, r := x.outlets[e.Stream], x.runs[e.Attempt]
	if o == nil || r == nil {
		return
	}
	o.push(command{feed: &feed{run: r, cursor: e.Offset, wantHead: e.WantHead}})
}

func (x *Executor) reportCrash(report admitter.CrashReport) {
	x.count.crashes.Inc()
	x.logger.Warn("The upstream crashed.", zap.String("upstream", string(report.Upstream)),
		zap.Int("suspects", len(report.Suspects)), zap.Bool("alone", report.Alone))
	x.inBackground(func(ctx context.Context) error { return x.crashes.ReportCrash(ctx, report) })
}

func (x *Executor) reportCleared(f router.Fingerprint) {
	x.inBackground(func(ctx context.Context) error { return x.crashes.ReportCleared(ctx, f) })
}

func (x *Executor) inBackground(report func(ctx context.Context) error) {
	x.work.Add(1)
	go func() {
		defer x.work.Done()
		ctx, cancel := context.WithTimeout(x.ctx, reportTimeout)
		defer cancel()
		if err := report(ctx); err != nil {
			x.logger.Warn("Control was not told about a suspect.", zap.Error(err))
		}
	}()
}
