package placer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/acceptor"
	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/reader"
	"celeryvalve/registrar"
	"celeryvalve/relayer"
	"celeryvalve/spreader"
)

const (
	// retryRatioFactor scales the declared retry ratio, so that the retries of all
	// entries stay below it.
	retryRatioFactor = 0.75
	// expectMargin is how long before the deadline of a release the entries begin to
	// refuse older ones. A request sent earlier may wait at an upstream for up to its
	// objective, and entries learn of a release at different times. The margin is at
	// most half of the time for the release.
	expectMargin = 1200 * time.Millisecond
	// beginMargin is how long before the deadline of a release requests are withdrawn that have
	// not begun on an older one: the reset must arrive first, and entries learn of a release and
	// of the state of control up to a heartbeat apart.
	beginMargin = 400 * time.Millisecond
	// steadyLogStep is the least change of the time since when control is steady that is
	// logged: more than its estimates differ.
	steadyLogStep = time.Second
	// replicaStartTime is the longest time between the start of an instance and that of its
	// control replica, as where 40 instances start at once.
	replicaStartTime = 500 * time.Millisecond
	// lameDuckPeriod is how long a draining entry accepts new connections. The
	// platform needs two failed readiness checks, one a second, before it sends
	// connections to other entries.
	lameDuckPeriod = 2500 * time.Millisecond
	// endMargin is the part of the time to drain that is left to answer the requests that have
	// not ended.
	endMargin = 300 * time.Millisecond
	// callsTimeout is how long a stop waits for calls of operators and upstreams: as long as
	// package platform lets one take.
	callsTimeout = 2 * time.Second
	// idleAfter is the time without a request after which an entry counts as one that
	// callers don't use: several times the mean time between two requests of an entry.
	idleAfter = 3 * time.Second
	// listenRetryDelay is the pause before a port that another process still has is tried again.
	listenRetryDelay = 500 * time.Millisecond
	// bufferMemoryFraction is the fraction of the memory that the bodies of requests and answers
	// may take beside the chunks of a cache, within the soft limit of the Go runtime.
	bufferMemoryFraction = 0.25
	// defaultBufferedBytes is what they may take where the memory is not given.
	defaultBufferedBytes = 64 << 20
)

func entryModule() fx.Option {
	return fx.Options(
		fx.Provide(
			newReducer,
			newBudget,
			newRelayer,
			newCrashReporter,
			newControlAPI,
			newEntry,
			func(e *entry) drainer { return e },
		),
		fx.Invoke(serveEntry, mountQuarantine, watchHomes, serveRoutes),
	)
}

func newReducer(placement parser.Placement) *balancer.Reducer {
	return balancer.New(balancer.Config{
		Entry:              placement.Instance,
		Region:             placement.Region,
		AvailabilityZone:   placement.AvailabilityZone,
		RetryRatio:         retryRatioFactor * placement.Bounds.RetryRatio,
		ColdOverage:        placement.Bounds.ColdOverage,
		ColdAllowance:      placement.Bounds.ColdAllowance,
		RetryBurst:         balancer.RetryBurst(placement.Bounds.RetryAllowance, 0),
		ReleaseGracePeriod: expectAfter(placement.Bounds.ReleaseDeadline),
		ReleaseBeginPeriod: beginWithin(placement.Bounds.ReleaseDeadline),
		ColdReportTime:     coldReports * placement.HeartbeatInterval,
	})
}

func expectAfter(within time.Duration) time.Duration {
	return max(within/2, within-expectMargin)
}

// beginWithin returns how long after a release was named a request may begin on an older one.
func beginWithin(within time.Duration) time.Duration {
	return max(expectAfter(within), within-beginMargin)
}

// newBudget returns the budget of what requests and their answers take of the memory.
func newBudget(placement parser.Placement) *reader.Budget {
	if placement.Memory == 0 {
		return reader.NewBudget(defaultBufferedBytes)
	}
	return reader.NewBudget(identifier.ByteCount(bufferMemoryFraction * float64(placement.Memory)))
}

func newRelayer(placement parser.Placement, reducer *balancer.Reducer, reporter *crashReporter, s *spreader.Spreader, memory *reader.Budget, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *relayer.Relayer {
	return relayer.New(reducer, platform.Headers{}, reporter, s, memory, clock, set, log, seedOf(placement))
}

// entry serves callers, operators and the reports of upstreams.
type entry struct {
	placement parser.Placement
	settings  parser.PlacedSettings
	view      *declarer.View
	spreader  *spreader.Spreader
	relayer   *relayer.Relayer
	replica   *replica
	clock     clockwork.Clock
	log       *zap.Logger

	capacity  capacity
	control   *acceptor.Server
	readiness *acceptor.Server
	draining  atomic.Bool
	listening atomic.Bool // for callers
	// loggedReadiness is the last readiness that was logged.
	loggedReadiness atomic.Value
	stopped         chan struct{}

	// applying guards evacuated, and makes changes of the declared state take turns.
	applying  sync.Mutex
	evacuated []identifier.AvailabilityZone

	mu      sync.Mutex
	callers *acceptor.Server
	// releaseNames holds the named releases of each model, each with the time from
	// which its deadline counts in this process.
	releaseNames map[identifier.Model][]declarer.WantedRelease
	// steadySince is since when control was last logged to be steady.
	steadySince time.Time
}

func newEntry(placement parser.Placement, settings parser.PlacedSettings, view *declarer.View, s *spreader.Spreader, rel *relayer.Relayer, o *controlAPI,
	r *replica, memory *reader.Budget, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *entry {
	e := &entry{
		placement:    placement,
		settings:     settings,
		view:         view,
		spreader:     s,
		relayer:      rel,
		replica:      r,
		clock:        clock,
		log:          log.Named("entry"),
		releaseNames: make(map[identifier.Model][]declarer.WantedRelease),
		stopped:      make(chan struct{}),
	}
	set.NewGauge("celeryvalve_entry_ready", func() float64 {
		if e.checkReadiness() == isReady {
			return 1
		}
		return 0
	})
	e.capacity = newCapacity(placement)
	e.control = acceptor.New(e.serverConfig("control", e.capacity.control, memory, set), acceptor.AnswerPromptly(platform.NewControlHandler(o, log)))
	e.readiness = acceptor.New(e.serverConfig("readiness", e.capacity.readiness, memory, set), acceptor.AnswerPromptly(http.HandlerFunc(e.serveReadiness)))
	return e
}

func serveEntry(lc fx.Lifecycle, e *entry) {
	e.view.Watch(e.applyDeclaration)
	e.spreader.Watch(e.updateUpstreams)
	e.spreader.WatchLoads(e.updateLoads)
	e.spreader.WatchEntries(func(n int) { e.relayer.ChangeEntries(n, e.placement.Bounds.RetryAllowance) })
	e.spreader.ReportServing(e.takesRequests)
	e.spreader.WatchServing(e.updateServing)
	e.spreader.WatchControl(e.updateControl)
	e.spreader.WatchQuarantine(e.relayer.ChangeQuarantine)
	lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
}

func (e *entry) start(context.Context) error {
	e.relayer.Start()
	for server, addr := range map[listenerServer]string{
		e.control:   e.placement.Operators.String(),
		e.readiness: e.placement.Readiness.String(),
	} {
		if err := e.listen(server, addr); err != nil {
			return err
		}
	}
	return nil
}

// listenerServer serves the connections of a listener.
type listenerServer interface {
	Serve(net.Listener) error
}

func (e *entry) listen(server listenerServer, addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "can't listen on TCP "+addr, "choose an address that no other process uses")
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("Server stopped with an error.", zap.String("address", addr), zap.Error(err))
		}
	}()
	return nil
}

func (e *entry) stop(ctx context.Context) error {
	close(e.stopped)
	err := errors.Join(e.stopControl(ctx), e.readiness.Close())
	if callers := e.callersServer(); callers != nil {
		err = errors.Join(err, callers.Close())
	}
	e.relayer.Stop()
	return err
}

// stopControl closes the server for operators and upstreams once the calls in progress are
// answered. What is left then is cut off, and sent again by its caller.
func (e *entry) stopControl(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callsTimeout)
	defer cancel()
	if err := e.control.Shutdown(ctx); err != nil {
		e.log.Warn("Calls to control were cut off.", zap.Error(err))
	}
	return e.control.Close()
}

// readiness says whether an entry can serve callers, and otherwise what it lacks.
type readiness string

const (
	isReady       readiness = "Ready"
	isDraining    readiness = "Draining"
	noDeclaration readiness = "NoDeclaration"
	notListening  readiness = "NotListening"
	noUpstreams   readiness = "NoUpstreams"
)

func (e *entry) checkReadiness() readiness {
	switch {
	case e.draining.Load():
		return isDraining
	case e.view.CurrentVersion() == 0:
		return noDeclaration
	case !e.listening.Load():
		return notListening
	case len(e.spreader.Upstreams()) == 0:
		return noUpstreams
	default:
		return isReady
	}
}

// serveReadiness responds with 200 if the entry can serve callers, and with 503
// otherwise.
func (e *entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	now := e.checkReadiness()
	if last := e.loggedReadiness.Swap(now); last != now {
		e.log.Info("Readiness changed.", zap.String("readiness", string(now)))
	}
	if now != isReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// applyDeclaration passes the evacuations and the declaration in force to the relayer. The
// first declaration also starts the server for callers.
func (e *entry) applyDeclaration() {
	// Watchers run at once if changes follow each other closely. The last one to run here
	// applies the newest state.
	e.applying.Lock()
	defer e.applying.Unlock()
	declared := e.view.Declared()
	e.applyEvacuations(declared.Evacuations)
	if declared.Declaration.Version == 0 {
		return
	}
	e.relayer.Declare(e.view.Index(), e.servicePolicies(declared))
	e.updateUpstreams()
	e.startCallersServer()
}

// startCallersServer starts to listen for callers, unless that was done before. It is
// called once limits are declared.
func (e *entry) startCallersServer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.callers != nil {
		return
	}
	e.callers = e.relayer.Server(e.capacity.callers)
	if !e.listenForCallers(e.callers) {
		go e.keepTryingToListen(e.callers)
	}
}

// listenForCallers reports whether the server listens. The entry is not ready before.
func (e *entry) listenForCallers(server *acceptor.Server) bool {
	if err := e.listen(server, e.placement.Callers.String()); err != nil {
		e.log.Error("Can't listen for callers. Trying again.", zap.Error(err))
		return false
	}
	e.listening.Store(true)
	return true
}

func (e *entry) keepTryingToListen(server *acceptor.Server) {
	for {
		select {
		case <-e.stopped:
			return
		case <-e.clock.After(listenRetryDelay):
		}
		if e.listenForCallers(server) {
			return
		}
	}
}

func (e *entry) callersServer() *acceptor.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callers
}

func (e *entry) servicePolicies(declared declarer.Declared) []balancer.ServicePolicy {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for model, release := range declared.Releases {
		e.releaseNames[model] = localNames(now, release.Names, e.releaseNames[model])
	}
	var policies []balancer.ServicePolicy
	for name, service := range declared.Declaration.Services {
		policy := balancer.ServicePolicy{Service: name, Engine: e.describeEngine(name, service.Engine), ColdRate: service.ColdRate}
		if service.Engine != nil {
			policy.Releases = e.releaseNames[service.Engine.Model]
		}
		policies = append(policies, policy)
	}
	return policies
}

// describeEngine returns the declared engine with what the settings add to it.
func (e *entry) describeEngine(service identifier.Service, engine *declarer.Engine) *declarer.Engine {
	settings, ok := e.settings.Engines[service]
	if engine == nil || !ok {
		return engine
	}
	described := *engine
	described.PrefixTokens = settings.PrefixTokens
	return &described
}

func (e *entry) updateUpstreams() {
	now := e.clock.Now()
	var views []balancer.UpstreamView
	for _, k := range e.spreader.Upstreams() {
		views = append(views, balancer.UpstreamView{
			Upstream:         k.Upstream,
			Incarnation:      k.Incarnation,
			Service:          k.Service,
			Address:          k.Address,
			AvailabilityZone: k.AvailabilityZone,
			Region:           k.Region,
			Slots:            k.Slots,
			Release:          k.Serves(),
			Draining:         k.State != registrar.Ready,
			Stale:            k.Stale,
			Limit:            k.Limit,
			ColdUntil:        now.Add(k.ColdRemaining),
		})
	}
	e.relayer.ChangeUpstreams(views)
}

// takesRequests reports whether callers send requests to this entry. Entries without any
// get no share of an upstream's limit, which they would leave unused.
func (e *entry) takesRequests() bool {
	return !e.draining.Load() && e.clock.Since(e.relayer.LastArrival()) < idleAfter
}

func (e *entry) updateServing(serving []spreader.ServingEntry) {
	entries := make([]balancer.Entry, 0, len(serving))
	for _, s := range serving {
		entries = append(entries, balancer.Entry{Name: s.Entry, AvailabilityZone: s.AvailabilityZone})
	}
	e.relayer.ChangeServing(entries)
}

func (e *entry) updateControl(status spreader.ControlStatus) {
	since := steadySince(status, e.placement.Bounds.ControlSettling)
	e.relayer.ObserveControl(balancer.ControlObserved{Reached: status.Reached, LastReached: status.LastReached, SteadySince: since})
	e.mu.Lock()
	defer e.mu.Unlock()
	if since.Sub(e.steadySince) < steadyLogStep {
		return
	}
	e.steadySince = since
	e.log.Info("The time for releases counts anew.", zap.Time("since", since), zap.Time("replicaStarted", status.StartedAt), zap.Bool("reached", status.Reached))
}

// steadySince returns since when the time for a release passes: control works, and has
// settled after the last start of a replica. It may be a time to come.
func steadySince(status spreader.ControlStatus, settling time.Duration) time.Time {
	if status.StartedAt.IsZero() || settling <= replicaStartTime {
		return status.SteadySince
	}
	return later(status.SteadySince, status.StartedAt.Add(settling-replicaStartTime))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *entry) updateLoads(loads []registrar.Load) {
	for _, l := range loads {
		e.relayer.ObserveLoad(l.Upstream, balancer.Load{Running: l.Running, Waiting: l.Waiting})
	}
}

// drain makes the entry report that it is not ready, serves until callers have moved
// to other entries, and then waits for the requests in progress. Those that are still in progress
// endMargin before ctx ends get a final answer.
func (e *entry) drain(ctx context.Context) {
	e.draining.Store(true)
	now := e.clock.Now()
	waiting, endAt := ctx, time.Time{}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		waiting, cancel = context.WithDeadline(ctx, deadline.Add(-endMargin))
		defer cancel()
		endAt = now.Add(time.Until(deadline) - endMargin)
	}
	e.relayer.Drain(now.Add(lameDuckPeriod), endAt)
	var handOver sync.WaitGroup
	defer handOver.Wait()
	if e.replica != nil {
		handOver.Go(func() { e.replica.handOver(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-e.clock.After(lameDuckPeriod):
	}
	callers := e.callersServer()
	if callers == nil {
		return
	}
	if callers.Shutdown(waiting) == nil {
		return
	}
	e.log.Warn("Requests did not finish within the grace period and were ended.", zap.Int("requests", e.relayer.EndRequests()))
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn("Requests were cut off.", zap.Int("requests", e.relayer.InFlight()), zap.Error(err))
	}
}
