package placer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
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
	origins    originCache
	clock      clockwork.Clock
	log        *zap.Logger
	reconciler *repeater.Repeater
	token      identifier.FencingToken

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// idle is set while the engine has no release.
	idle atomic.Bool

	mu      sync.Mutex
	reducer *stager.Reducer
	target  target
	// names holds the named releases with times on this process's clock.
	names []declarer.WantedRelease
	// earlier is the release before target that the engine may load meanwhile, or 0: one that
	// is empty, or any while bridging is set.
	earlier  declarer.ReleaseNumber
	bridging bool
	// goal is the release that the engine should load now: target or earlier.
	goal declarer.ReleaseNumber
	// pulls holds the transfers of these two releases.
	pulls   map[declarer.ReleaseNumber]*pull
	serving *declarer.ReleaseNumber
	// settledSince is when control settles after the last start of a replica, or zero.
	settledSince time.Time
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
		clock:     clock,
		log:       log.Named("agent"),
		// Only the agent on the engine's instance sends it orders. The token is the
		// start time, so that a restarted agent has a newer one.
		token:   identifier.FencingToken(clock.Now().UnixMilli()),
		reducer: stager.New(stager.Config{RolloutTime: placement.Bounds.ReleaseDeadline}),
		pulls:   make(map[declarer.ReleaseNumber]*pull),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.reconciler = repeater.New(clock, agentReconcileInterval, a.reconcile)
	view.Watch(a.reconciler.Trigger)
	s.WatchControl(a.updateControl)
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
	if !report.Layers.AreAll(layersOf(a.view.Declared(), own)) {
		report.Release = 0
	}
	a.idle.Store(report.Release == 0)
	a.followRelease(own, report)
	a.reduce(stager.Observed{Report: report, Position: a.turn(own, all), Standing: standing(own, report)})
	a.announce()
	if own.Upstream != "" {
		a.spreader.ReportLoad(registrar.Load{Upstream: own.Upstream, Running: report.Running, Waiting: report.Waiting})
	}
}

// standing returns what entries know of the release that the engine holds.
func standing(own registrar.Record, report stager.Report) stager.Standing {
	switch {
	case own.Upstream == "":
		return stager.Unknown
	case own.Stamp == 0 || own.Noted == report.Release:
		return stager.Believed
	default:
		return stager.Withheld
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
// positions of the others that do not serve the release yet that it should load.
func (a *agent) turn(own registrar.Record, all []registrar.Record) stager.RolloutPosition {
	a.mu.Lock()
	wanted := a.goal
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

// followRelease starts the transfers of a newly wanted release and reports their progress
// to the reducer. Until the engine's service is known, the engine is assumed to serve
// the only declared model.
func (a *agent) followRelease(own registrar.Record, report stager.Report) {
	declared := a.view.Declared()
	model, ok := modelOf(declared, own)
	if !ok {
		return
	}
	release := declared.Releases[model]
	// As long as the wanted release isn't pinned, the one before it goes on.
	pinned := release.PinBefore(release.Wanted + 1)
	if pinned.Number == 0 {
		return
	}
	a.mu.Lock()
	a.names = localNames(a.clock.Now(), release.Names, a.names)
	release.Names = a.names
	if a.target.model != model || a.target.pinned.Number != pinned.Number {
		a.target = target{model: model, pinned: pinned}
		a.earlier = release.PinBefore(pinned.Number).Number
		a.bridging = false
		a.cancelPulls(report.Release == 0)
	}
	if report.Release < pinned.Number {
		a.ensurePull(a.target)
		a.ensureFallback(release, report)
		a.updateBridge(declared.Declaration, release, report)
	}
	wanted := a.chooseGoal(report)
	wanted.CopyTime = copyTime(declared.Declaration, pinned)
	a.goal = wanted.Release
	settledSince := a.settledSince
	a.mu.Unlock()
	wanted.Model = model
	wanted.WantedSince = release.WantedSince(report.Release)
	wanted.TimedSince = settledSince
	a.reduce(wanted)
}

// updateControl notes when control settles. An agent isn't told for how long a leader has
// been known, only when a replica started.
func (a *agent) updateControl(status spreader.ControlStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settledSince = steadySince(spreader.ControlStatus{StartedAt: status.StartedAt}, a.placement.Bounds.ControlSettling)
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

// model returns the model whose releases the engine should serve.
func (a *agent) model() identifier.Model {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target.model
}

func (a *agent) reduce(event stager.Event) {
	a.mu.Lock()
	effects := a.reducer.Reduce(a.clock.Now(), event)
	a.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case stager.Stage:
			t, chunks := a.chunksOf(e.Release)
			a.work.Go(func() { a.stage(t, chunks) })
		case stager.Verify:
			model := a.model()
			a.work.Go(func() { a.verify(model, e.Release) })
		case stager.Order:
			a.work.Go(func() { a.sendOrder(e) })
		case stager.Discard:
			a.work.Go(func() { a.discard(e) })
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
