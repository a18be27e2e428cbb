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

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/registrar"
	"celeryvalve/relayer"
	"celeryvalve/spreader"
)

const (
	// entriesAssumed is among how many entries the shared retry slack is cut.
	entriesAssumed = 16
	// ratioMargin keeps the retries of all entries below the declared ratio.
	ratioMargin = 0.75
	// expectMargin is how long before the end of the time for a release entries refuse
	// older ones: what was sent waits at an upstream for up to its objective, and
	// entries hear of a release at different times. On short bounds half of the time
	// is left.
	expectMargin = 1200 * time.Millisecond
	// lameDuck is for how long a draining entry takes new connections: the platform
	// needs two failed questions, one a second, to send them elsewhere.
	lameDuck       = 2500 * time.Millisecond
	controlTimeout = 5 * time.Second
)

func entryModule() fx.Option {
	return fx.Options(
		fx.Provide(
			newReducer,
			newRelayer,
			newOffice,
			newEntry,
			func(e *entry) drainer { return e },
		),
		fx.Invoke(serveEntry),
	)
}

func newReducer(placement parser.Placement) *balancer.Reducer {
	return balancer.New(balancer.Config{
		Region:           placement.Region,
		AvailabilityZone: placement.AvailabilityZone,
		RetryRatio:       ratioMargin * placement.Bounds.RetryRatio,
		RetryBurst:       max(1, placement.Bounds.RetrySlack/entriesAssumed),
		ExpectAfter:      expectAfter(placement.Bounds.ReleaseWithin),
	})
}

func expectAfter(within time.Duration) time.Duration {
	return max(within/2, within-expectMargin)
}

func newRelayer(placement parser.Placement, reducer *balancer.Reducer, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *relayer.Relayer {
	return relayer.New(reducer, platform.Dialect{}, clock, set, log, seedOf(placement))
}

// entry serves callers, operators and the reports of upstreams.
type entry struct {
	placement parser.Placement
	view      *declarer.View
	spreader  *spreader.Spreader
	relayer   *relayer.Relayer
	replica   *replica
	clock     clockwork.Clock
	log       *zap.Logger

	control   *http.Server
	readiness *http.Server
	draining  atomic.Bool

	mu      sync.Mutex
	callers *http.Server
	// named are the releases of each model with since when their time runs here.
	named map[identifier.Model][]declarer.Named
}

func newEntry(placement parser.Placement, view *declarer.View, s *spreader.Spreader, rel *relayer.Relayer, o *office,
	r *replica, clock clockwork.Clock, log *zap.Logger) *entry {
	e := &entry{
		placement: placement,
		view:      view,
		spreader:  s,
		relayer:   rel,
		replica:   r,
		clock:     clock,
		log:       log.Named("entry"),
		named:     make(map[identifier.Model][]declarer.Named),
	}
	e.control = &http.Server{Handler: platform.NewControl(o, log), ReadHeaderTimeout: controlTimeout}
	e.readiness = &http.Server{Handler: http.HandlerFunc(e.answerReadiness), ReadHeaderTimeout: controlTimeout}
	return e
}

func serveEntry(lc fx.Lifecycle, e *entry) {
	e.view.Watch(e.declared)
	e.spreader.Watch(e.followUpstreams)
	e.spreader.WatchLoads(e.followLoads)
	lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
}

func (e *entry) start(context.Context) error {
	e.relayer.Start()
	for server, addr := range map[*http.Server]string{
		e.control:   e.placement.Operators.String(),
		e.readiness: e.placement.Readiness.String(),
	} {
		if err := e.listen(server, addr); err != nil {
			return err
		}
	}
	return nil
}

func (e *entry) listen(server *http.Server, addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "can't listen on TCP "+addr, "choose an address that no other process uses")
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("Serving ended.", zap.String("address", addr), zap.Error(err))
		}
	}()
	return nil
}

func (e *entry) stop(context.Context) error {
	err := errors.Join(e.control.Close(), e.readiness.Close())
	if callers := e.callersServer(); callers != nil {
		err = errors.Join(err, callers.Close())
	}
	e.relayer.Stop()
	return err
}

// answerReadiness says whether the entry can serve callers.
func (e *entry) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || e.view.Current() == 0 || len(e.spreader.Known()) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// declared puts a declaration in force.
func (e *entry) declared() {
	declared := e.view.Declared()
	if declared.Declaration.Version == 0 {
		return
	}
	e.relayer.Declare(e.view.Index(), e.policies(declared))
	e.followUpstreams()
	e.openToCallers()
}

// openToCallers begins to listen with the first limits that are declared.
func (e *entry) openToCallers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.callers != nil {
		return
	}
	e.callers = e.relayer.Server("")
	if err := e.listen(e.callers, e.placement.Callers.String()); err != nil {
		e.log.Error("Can't take callers.", zap.Error(err))
	}
}

func (e *entry) callersServer() *http.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callers
}

func (e *entry) policies(declared declarer.Declared) []balancer.ServicePolicy {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for model, release := range declared.Releases {
		e.named[model] = namesOf(now, release.Names, e.named[model])
	}
	var policies []balancer.ServicePolicy
	for name, service := range declared.Declaration.Services {
		policy := balancer.ServicePolicy{Service: name, Engine: service.Engine}
		if service.Engine != nil {
			policy.Named = e.named[service.Engine.Model]
		}
		policies = append(policies, policy)
	}
	return policies
}

// namesOf returns the names with times by this process's clock. What was known
// keeps its time.
func namesOf(now time.Time, names, known []declarer.Named) []declarer.Named {
	list := make([]declarer.Named, 0, len(names))
	for _, n := range names {
		n.At = sinceOf(now, n.At)
		for _, k := range known {
			if k.Number == n.Number {
				n.At = k.At
			}
		}
		list = append(list, n)
	}
	return list
}

// sinceOf returns when the time for a release began: when it was named, also where
// this process started later, and never after it was heard of here.
func sinceOf(heard, named time.Time) time.Time {
	if named.Before(heard) {
		return named
	}
	return heard
}

func (e *entry) followUpstreams() {
	var views []balancer.UpstreamView
	for _, k := range e.spreader.Known() {
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
		})
	}
	e.relayer.ChangeUpstreams(views)
}

func (e *entry) followLoads(loads []registrar.Load) {
	for _, l := range loads {
		e.relayer.ObserveLoad(l.Upstream, balancer.Load{Running: l.Running, Waiting: l.Waiting})
	}
}

// drain stops being ready, serves until callers have gone elsewhere, and then
// ends what is under way.
func (e *entry) drain(ctx context.Context) {
	e.draining.Store(true)
	e.relayer.Drain()
	if e.replica != nil {
		e.replica.handOver(ctx)
	}
	select {
	case <-ctx.Done():
	case <-e.clock.After(lameDuck):
	}
	callers := e.callersServer()
	if callers == nil {
		return
	}
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn("The grace cut requests off.", zap.Int("requests", e.relayer.Serving()), zap.Error(err))
	}
}
