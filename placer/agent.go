package placer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/puller"
	"celeryvalve/registrar"
	"celeryvalve/repeater"
	"celeryvalve/spreader"
	"celeryvalve/stager"
)

const (
	// agentReconcileInterval is how often the engine is polled.
	agentReconcileInterval = 200 * time.Millisecond
	engineTimeout          = time.Second
	// stageTimeout limits the time to write all chunks of a release and read them
	// back.
	stageTimeout = 10 * time.Second
	// stageAttempts is how many times a chunk that reads back corrupt is written.
	stageAttempts = 3
	// localMirrorAttempts and localMirrorRetryDelay limit the wait for a mirror in
	// this region.
	localMirrorAttempts   = 12
	localMirrorRetryDelay = 50 * time.Millisecond
)

func agentModule() fx.Option {
	return fx.Options(
		fx.Provide(newAgent, func(a *agent) drainer { return a }),
		fx.Invoke(serveAgent),
	)
}

// agent loads the wanted release into the engine on its instance.
type agent struct {
	placement  parser.Placement
	view       *declarer.View
	spreader   *spreader.Spreader
	endpoint   *connector.Endpoint
	engine     *platform.EngineClient
	puller     *puller.Puller
	origins    originCache
	clock      clockwork.Clock
	log        *zap.Logger
	reconciler *repeater.Repeater
	token      identifier.FencingToken

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	reducer *stager.Reducer
	target  target
	// cancelPull stops the current transfer once another release is wanted.
	cancelPull context.CancelFunc
	pulling    bool
	// chunks holds the chunks of target by digest, or is nil until all have arrived.
	chunks  map[identifier.Digest][]byte
	serving *declarer.ReleaseNumber
}

// target is the release that the engine should serve.
type target struct {
	model  identifier.Model
	pinned declarer.Pinned
}

func newAgent(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, log *zap.Logger) *agent {
	a := &agent{
		placement: placement,
		view:      view,
		spreader:  s,
		endpoint:  e,
		engine:    platform.NewEngine(placement.Upstream),
		puller:    puller.New(clock, log),
		clock:     clock,
		log:       log.Named("agent"),
		// Only the agent on the engine's instance sends it orders. The token is the
		// start time, so that a restarted agent has a newer one.
		token:      identifier.FencingToken(clock.Now().UnixMilli()),
		reducer:    stager.New(stager.Config{RolloutTime: placement.Bounds.ReleaseDeadline}),
		cancelPull: func() {},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.reconciler = repeater.New(clock, agentReconcileInterval, a.reconcile)
	view.Watch(a.reconciler.Trigger)
	return a
}

func serveAgent(lc fx.Lifecycle, a *agent) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			a.reconciler.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			a.reconciler.Stop()
			a.cancel()
			a.work.Wait()
			return nil
		},
	})
}

// drain does nothing: requests do not pass through the agent.
func (a *agent) drain(context.Context) {}

// reconcile reads the engine's report and passes it, with the wanted release, to the
// reducer.
func (a *agent) reconcile(ctx context.Context) {
	if !a.placement.Upstream.IsValid() {
		return
	}
	own, all := a.engineRecords()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := a.engine.Report(ctx)
	if err != nil {
		a.reduce(stager.Unreachable{})
		return
	}
	a.followRelease(own, report)
	a.reduce(stager.Observed{Report: report, Position: a.turn(own, all)})
	a.announce()
	if own.Upstream != "" {
		a.spreader.ReportLoad(registrar.Load{Upstream: own.Upstream, Running: report.Running, Waiting: report.Waiting})
	}
}

// engineRecords returns the record of the engine on this instance, and the records
// of all engines of its service, sorted by name.
func (a *agent) engineRecords() (own registrar.Record, all []registrar.Record) {
	known := a.spreader.Upstreams()
	for _, k := range known {
		if k.Address == a.placement.Upstream {
			own = k.Record
		}
	}
	for _, k := range known {
		if own.Service != "" && k.Service == own.Service {
			all = append(all, k.Record)
		}
	}
	return own, all
}

// turn returns the position of the engine among the engines of its service, and the
// positions of the others that do not serve the target release yet.
func (a *agent) turn(own registrar.Record, all []registrar.Record) stager.RolloutPosition {
	a.mu.Lock()
	wanted := a.target.pinned.Number
	a.mu.Unlock()
	turn := stager.RolloutPosition{Engines: len(all)}
	for i, r := range all {
		switch {
		case r.Upstream == own.Upstream:
			turn.Rank = i
		case r.Serves() < wanted:
			turn.Outdated = append(turn.Outdated, i)
		}
	}
	return turn
}

// followRelease starts the transfer of a newly wanted release and reports its progress
// to the reducer. Until the engine's service is known, the engine is assumed to serve
// the only declared model.
func (a *agent) followRelease(own registrar.Record, report stager.Report) {
	declared := a.view.Declared()
	model, ok := modelOf(declared, own)
	if !ok {
		return
	}
	pinned, ok := declared.Releases[model].Pin(declared.Releases[model].Wanted)
	if !ok {
		return
	}
	a.mu.Lock()
	changed := a.target.model != model || a.target.pinned.Number != pinned.Number
	if changed {
		a.cancelPull()
		a.pulling = false
		a.target = target{model: model, pinned: pinned}
		a.chunks = nil
		if report.Release < pinned.Number {
			a.startPull(a.target)
		}
	} else if report.Release < pinned.Number && a.chunks == nil && !a.pulling {
		a.startPull(a.target) // the engine lost the release
	}
	held := a.chunks != nil
	progress := float64(a.puller.Held()) / float64(len(pinned.Digests))
	a.mu.Unlock()
	a.reduce(stager.Wanted{
		Model:        model,
		Release:      pinned.Number,
		Held:         held,
		HeldFraction: progress,
		WantedSince:  releaseStart(a.clock.Now(), declared.Releases[model].WantedSince(report.Release)),
	})
}

func modelOf(declared declarer.Declared, own registrar.Record) (identifier.Model, bool) {
	if own.Service != "" {
		engine := declared.Declaration.Services[own.Service].Engine
		if engine == nil {
			return "", false
		}
		return engine.Model, true
	}
	if len(declared.Releases) != 1 {
		return "", false
	}
	for model := range declared.Releases {
		return model, true
	}
	return "", false
}

// startPull starts the transfer of t. The caller holds the lock.
func (a *agent) startPull(t target) {
	manifest, err := manifestOf(t.model, t.pinned)
	if err != nil {
		a.log.Error("Can't build the manifest of a pinned release.", zap.Error(err))
		return
	}
	a.log.Info("Release is wanted.", zap.String("model", string(t.model)), zap.Uint64("release", uint64(t.pinned.Number)))
	ctx, cancel := context.WithCancel(a.ctx)
	a.cancelPull = cancel
	a.pulling = true
	// If no origin is declared, only the mirrors are asked.
	origin, _ := a.origins.client(a.view.Declared().Declaration)
	a.work.Go(func() {
		a.awaitLocalMirror(ctx)
		sources := sourcesOf(a.placement, a.spreader, a.endpoint, origin, t.model, manifest.Digest())
		chunks, err := a.puller.Pull(ctx, t.pinned, sources)
		defer a.reconciler.Trigger()
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.target.pinned.Number != t.pinned.Number {
			return
		}
		a.pulling = false
		if err == nil {
			a.chunks = chunks
		}
		a.log.Info("Release has come.", zap.Uint64("release", uint64(t.pinned.Number)), zap.Error(err))
	})
}

// awaitLocalMirror waits briefly until a mirror in this region is known. After a start
// of the whole system the replicas learn of each other gradually, and a copy from
// another region takes capacity of a slow link between regions.
func (a *agent) awaitLocalMirror(ctx context.Context) {
	for range localMirrorAttempts {
		unknown := false
		for _, addr := range a.spreader.ReplicaAddresses() {
			region := a.spreader.RegionOf(addr)
			if region == a.placement.Region {
				return
			}
			unknown = unknown || region == ""
		}
		if !unknown {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-a.clock.After(localMirrorRetryDelay):
		}
	}
}

func (a *agent) reduce(event stager.Event) {
	a.mu.Lock()
	effects := a.reducer.Reduce(a.clock.Now(), event)
	t, chunks := a.target, a.chunks
	a.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case stager.Stage:
			a.work.Go(func() { a.stage(t, chunks) })
		case stager.Order:
			a.work.Go(func() { a.sendOrder(e) })
		case stager.Announce:
			a.mu.Lock()
			a.serving = &e.Release
			a.mu.Unlock()
			a.announce()
		}
	}
}

// announce tells the other processes what the engine serves, earlier than the engine's
// next report does.
func (a *agent) announce() {
	own, _ := a.engineRecords()
	a.mu.Lock()
	serving := a.serving
	a.mu.Unlock()
	if serving == nil || own.Upstream == "" || (own.Stamp != 0 && own.Noted == *serving) {
		return
	}
	a.spreader.RecordServing(own.Upstream, *serving, max(own.Stamp+1, uint64(a.clock.Now().UnixMilli())))
	a.log.Info("Engine serves.", zap.String("upstream", string(own.Upstream)), zap.Uint64("release", uint64(*serving)))
}
