package executor

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/admitter"
	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
	"celeryvalve/repeater"
	"celeryvalve/router"
)

const (
	tickInterval           = 50 * time.Millisecond
	probeInterval          = 250 * time.Millisecond
	probeTimeout           = time.Second
	heartbeatInterval      = 500 * time.Millisecond
	dialTimeout            = 2 * time.Second
	reportTimeout          = 5 * time.Second
	maxFailedProbes        = 3
	defaultProgressTimeout = 30 * time.Second
	maxResponseHeaderSize  = 256 << 10

	defaultMaxBody identifier.ByteCount = 8 << 20
)

// Config describes the upstream and the limits that apply to it.
type Config struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Address is the HTTP address of the upstream.
	Address netip.AddrPort
	// ReportsLoad reports that the upstream serves its readiness and load under
	// GET /state, and its cache events under GET /events. Without it a probe only
	// opens a TCP connection.
	ReportsLoad bool
	// Concurrency fixes the number of concurrent requests. Zero selects the adaptive
	// limit.
	Concurrency int
	// EventStreamEnd is the data of the last event of every event stream. An event
	// stream that ends without it is incomplete. Empty disables this check.
	EventStreamEnd string
	// ProgressTimeout is the longest time without a byte from the upstream once the
	// deadline of the attempt has passed, 30 s if zero. Until the deadline, a silent
	// upstream may still answer. It also bounds how long a full buffer may hold back
	// the upstream.
	ProgressTimeout time.Duration
	// MaxBody is the maximum size of a request body, 8 MiB if zero.
	MaxBody identifier.ByteCount
}

// CrashReporter sends crash reports and cleared suspects to the control plane.
type CrashReporter interface {
	ReportCrash(ctx context.Context, report admitter.CrashReport) error
	ReportCleared(ctx context.Context, fingerprint quarantiner.Fingerprint) error
}

// Dependencies holds the services that an executor uses. Metrics may be nil.
type Dependencies struct {
	Claims        router.Claimer
	CrashReporter CrashReporter
	Clock         clockwork.Clock
	Logger        *zap.Logger
	Asserter      asserter.Asserter
	Metrics       *metrics.Set
}

// Executor serves the attempts of one upstream. It is safe for concurrent use.
type Executor struct {
	cfg      Config
	claims   router.Claimer
	crashes  CrashReporter
	clock    clockwork.Clock
	logger   *zap.Logger
	counters counters
	cache    cacheTracker

	// singleUseClient opens a new connection for each request. On a reused connection
	// that the upstream has closed, the HTTP client might resend a request by itself.
	singleUseClient *http.Client
	pooledClient    *http.Client
	// echoesAttempts is set while the upstream's responses name their attempt. Only then is a
	// connection kept: an extra response could otherwise be taken for that to the next request.
	echoesAttempts atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	// Stop waits for work, Drain for drained and then for settlements.
	work        sync.WaitGroup
	ticker      *repeater.Repeater
	settlements sync.WaitGroup
	drained     chan struct{}

	mu            sync.Mutex
	reducer       *admitter.Reducer
	runs          map[identifier.AttemptID]*run
	sendQueues    map[admitter.StreamID]*sendQueue
	nextStream    admitter.StreamID
	gateClosed    bool
	upstreamReady bool
	// ready is the readiness that was last passed to the reducer.
	ready bool
}

// New returns an executor that is not started. It accepts no attempts until a probe
// has found the upstream ready.
func New(cfg Config, deps Dependencies) *Executor {
	if cfg.ProgressTimeout == 0 {
		cfg.ProgressTimeout = defaultProgressTimeout
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	reducerConfig := admitter.Config{
		Upstream:    cfg.Upstream,
		Incarnation: cfg.Incarnation,
		ReportsLoad: cfg.ReportsLoad,
		Concurrency: concurrencyConfig(cfg),
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		cfg:             cfg,
		claims:          deps.Claims,
		crashes:         deps.CrashReporter,
		clock:           deps.Clock,
		logger:          deps.Logger.Named("executor"),
		counters:        newCounters(deps.Metrics),
		singleUseClient: newClient(false),
		pooledClient:    newClient(true),
		ctx:             ctx,
		cancel:          cancel,
		drained:         make(chan struct{}),
		reducer:         admitter.New(reducerConfig, deps.Asserter),
		runs:            make(map[identifier.AttemptID]*run),
		sendQueues:      make(map[admitter.StreamID]*sendQueue),
	}
	x.ticker = repeater.New(deps.Clock, tickInterval, func(context.Context) { x.post(admitter.Ticked{}) })
	return x
}

func concurrencyConfig(cfg Config) limiter.ConcurrencyConfig {
	c := limiter.DefaultConcurrencyConfig()
	if cfg.Concurrency > 0 {
		c.Min, c.Initial, c.Max = cfg.Concurrency, cfg.Concurrency, cfg.Concurrency
	}
	return c
}

// Start starts the probes of the upstream and the reducer's timer.
func (x *Executor) Start() {
	x.ticker.Start()
	x.work.Add(1)
	go x.probeLoop()
	if x.cfg.ReportsLoad {
		x.work.Add(1)
		go x.watchCache()
	}
}

// Stop cancels all running attempts and background work and waits until they end.
func (x *Executor) Stop() {
	x.cancel()
	x.ticker.Stop()
	x.work.Wait()
	x.singleUseClient.CloseIdleConnections()
	x.pooledClient.CloseIdleConnections()
}

// Drain refuses new attempts and waits until the last response is delivered and its
// outcome is stored. It returns an error of kind Unavailable if ctx ends before.
func (x *Executor) Drain(ctx context.Context) error {
	x.Leave()
	settled := make(chan struct{})
	go func() {
		<-x.drained
		x.settlements.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return explainer.Wrap(ctx.Err(), explainer.Unavailable, "attempts are still running or not settled at the end of the drain time",
			"raise the drain time, or accept that these attempts are aborted")
	}
}

// Leave makes the executor refuse new and queued attempts from now on. Running ones
// continue.
func (x *Executor) Leave() {
	x.post(admitter.Leave{})
}

// SetGateClosed sets whether the executor refuses new attempts regardless of the probes. It is
// meant for the code that loads weights into the upstream.
func (x *Executor) SetGateClosed(closed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gateClosed = closed
	x.updateReady(false)
}

// SetQuarantine replaces the control plane's lists of suspect and refused
// fingerprints.
func (x *Executor) SetQuarantine(suspects, refused []quarantiner.Fingerprint) {
	x.post(admitter.QuarantineChanged{Suspects: suspects, Refused: refused})
}

// ActiveRequests returns the ids of the requests whose attempts are queued or running, in
// sorted order.
func (x *Executor) ActiveRequests() []identifier.RequestID {
	x.mu.Lock()
	defer x.mu.Unlock()
	var requests []identifier.RequestID
	for _, r := range x.runs {
		if !r.hasEnded() {
			requests = append(requests, r.start.Request)
		}
	}
	slices.Sort(requests)
	return requests
}

// Load returns the current load report.
func (x *Executor) Load() router.LoadReport {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reducer.Load()
}

// Ready reports whether the executor accepts new attempts: the upstream is ready, the
// gate is open and no drain has started.
func (x *Executor) Ready() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ready && !x.reducer.Load().Leaving
}

// post locks mu and applies the event.
func (x *Executor) post(event admitter.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reduce(event)
}

// reduce passes the event to the reducer and carries out its effects, none of which
// blocks. mu is held.
func (x *Executor) reduce(event admitter.Event) {
	for _, effect := range x.reducer.Reduce(x.clock.Now(), event) {
		x.carryOut(effect)
	}
}

func (x *Executor) carryOut(effect admitter.Effect) {
	switch e := effect.(type) {
	case admitter.Accept:
		x.enqueue(e.Stream, &e.Message)
	case admitter.Refuse:
		x.counters.countRefused(e.Message.Reason)
		x.enqueue(e.Stream, &e.Message)
	case admitter.Gone:
		x.enqueue(e.Stream, &e.Message)
	case admitter.Attach:
		x.attach(e)
	case admitter.Run:
		x.startRun(e.Attempt)
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
	case admitter.RequestLimitChanged:
		x.logger.Info("Upstream's limit on requests has changed.", zap.Bool("inForce", e.Limit.InForce),
			zap.Float64("perSecond", e.Limit.PerSecond), zap.String("request", string(e.Request)))
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

func (x *Executor) enqueue(stream admitter.StreamID, msg any) {
	if q := x.sendQueues[stream]; q != nil {
		q.push(command{message: msg})
	}
}

func (x *Executor) attach(e admitter.Attach) {
	q, r := x.sendQueues[e.Stream], x.runs[e.Attempt]
	if q == nil || r == nil {
		return
	}
	q.push(command{cursor: &cursor{run: r, offset: e.Offset, wantHead: e.WantHead}})
}

func (x *Executor) reportCrash(report admitter.CrashReport) {
	x.counters.crashes.Inc()
	x.logger.Warn("The upstream crashed.", zap.String("upstream", string(report.Upstream)),
		zap.Int("suspects", len(report.Suspects)), zap.Bool("alone", report.Alone))
	x.reportInBackground(func(ctx context.Context) error { return x.crashes.ReportCrash(ctx, report) })
}

func (x *Executor) reportCleared(f quarantiner.Fingerprint) {
	x.reportInBackground(func(ctx context.Context) error { return x.crashes.ReportCleared(ctx, f) })
}

func (x *Executor) reportInBackground(report func(ctx context.Context) error) {
	x.work.Add(1)
	go func() {
		defer x.work.Done()
		ctx, cancel := context.WithTimeout(x.ctx, reportTimeout)
		defer cancel()
		if err := report(ctx); err != nil {
			x.logger.Warn("Failed to report a crash or a cleared suspect to the control plane.", zap.Error(err))
		}
	}()
}
