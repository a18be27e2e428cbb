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
	// agentInterval is how often the engine is looked at.
	agentInterval = 200 * time.Millisecond
	engineTimeout = time.Second
	// stageTimeout bounds putting and reading back all chunks of a release.
	stageTimeout = 10 * time.Second
	// stageRounds is how often a chunk that reads back spoilt is put again.
	stageRounds = 3
	// regionTries and regionPause bound the wait for mirrors of the own region.
	regionTries = 12
	regionPause = 50 * time.Millisecond
)

func agentModule() fx.Option {
	return fx.Options(
		fx.Provide(newAgent, func(a *agent) drainer { return a }),
		fx.Invoke(serveAgent),
	)
}

// agent brings the wanted weights to the engine on its instance.
type agent struct {
	placement parser.Placement
	view      *declarer.View
	spreader  *spreader.Spreader
	endpoint  *connector.Endpoint
	engine    *platform.Engine
	puller    *puller.Puller
	origins   origins
	clock     clockwork.Clock
	log       *zap.Logger
	watching  *repeater.Repeater
	token     identifier.FencingToken

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	reducer *stager.Reducer
	target  target
	// stopPull ends the transfer of an older release.
	stopPull context.CancelFunc
	pullsNow bool
	// chunks are those of the target, by digest, once all have come.
	chunks map[identifier.Digest][]byte
	serves *declarer.ReleaseNumber
}

// target is the release that is wanted here.
type target struct {
	model  identifier.Model
	pinned declarer.Pinned
}

func newAgent(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, log *zap.Logger) *agent {
	g := &agent{
		placement: placement,
		view:      view,
		spreader:  s,
		endpoint:  e,
		engine:    platform.NewEngine(placement.Upstream),
		puller:    puller.New(clock, log),
		clock:     clock,
		log:       log.Named("agent"),
		// The only giver of orders is the process beside the engine. Its start tells
		// it from the one before.
		token:    identifier.FencingToken(clock.Now().UnixMilli()),
		reducer:  stager.New(stager.Config{Within: placement.Bounds.ReleaseWithin}),
		stopPull: func() {},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.watching = repeater.New(clock, agentInterval, g.watch)
	view.Watch(g.watching.Nudge)
	return g
}

func serveAgent(lc fx.Lifecycle, g *agent) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			g.watching.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			g.watching.Stop()
			g.cancel()
			g.work.Wait()
			return nil
		},
	})
}

// drain has nothing to wait for: requests don't go through the agent.
func (g *agent) drain(context.Context) {}

// watch looks at the engine and at what is wanted of it.
func (g *agent) watch(ctx context.Context) {
	if !g.placement.Upstream.IsValid() {
		return
	}
	own, all := g.records()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := g.engine.Report(ctx)
	if err != nil {
		g.reduce(stager.Unreachable{})
		return
	}
	g.follow(own, report)
	g.reduce(stager.Observed{Report: report, Turn: g.turn(own, all)})
	g.announce()
	if own.Upstream != "" {
		g.spreader.ReportLoad(registrar.Load{Upstream: own.Upstream, Running: report.Running, Waiting: report.Waiting})
	}
}

// records returns the record of the engine beside this agent, and those of all
// engines of its service, by name.
func (g *agent) records() (own registrar.Record, all []registrar.Record) {
	known := g.spreader.Known()
	for _, k := range known {
		if k.Address == g.placement.Upstream {
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

// turn says where the engine stands among those of its service that are to load
// the target.
func (g *agent) turn(own registrar.Record, all []registrar.Record) stager.Turn {
	g.mu.Lock()
	wanted := g.target.pinned.Number
	g.mu.Unlock()
	turn := stager.Turn{Engines: len(all)}
	for i, r := range all {
		switch {
		case r.Upstream == own.Upstream:
			turn.Rank = i
		case r.Serves() < wanted:
			turn.Behind = append(turn.Behind, i)
		}
	}
	return turn
}

// follow begins to bring the release that is wanted. Before the engine has said
// which service it is of, the only model that is declared is taken for its own.
func (g *agent) follow(own registrar.Record, report stager.Report) {
	declared := g.view.Declared()
	model, ok := modelOf(declared, own)
	if !ok {
		return
	}
	pinned, ok := declared.Releases[model].Pin(declared.Releases[model].Wanted)
	if !ok {
		return
	}
	g.mu.Lock()
	changed := g.target.model != model || g.target.pinned.Number != pinned.Number
	if changed {
		g.stopPull()
		g.target = target{model: model, pinned: pinned}
		g.chunks = nil
		if report.Release < pinned.Number {
			g.pull(g.target)
		}
	} else if report.Release < pinned.Number && g.chunks == nil && !g.pullsNow {
		g.pull(g.target) // the engine lost what it had
	}
	held := g.chunks != nil
	progress := float64(g.puller.Held()) / float64(len(pinned.Digests))
	g.mu.Unlock()
	g.reduce(stager.Wanted{
		Model:    model,
		Release:  pinned.Number,
		Held:     held,
		Progress: progress,
		Since:    sinceOf(g.clock.Now(), declared.Releases[model].Since(report.Release)),
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

// pull begins a transfer. The caller holds the lock.
func (g *agent) pull(t target) {
	manifest, err := manifestOf(t.model, t.pinned)
	if err != nil {
		g.log.Error("A pinned release makes no manifest.", zap.Error(err))
		return
	}
	g.log.Info("Release is wanted.", zap.String("model", string(t.model)), zap.Uint64("release", uint64(t.pinned.Number)))
	ctx, cancel := context.WithCancel(g.ctx)
	g.stopPull = cancel
	g.pullsNow = true
	// Without an origin the mirrors alone are asked.
	origin, _ := g.origins.declared(g.view.Declared().Declaration)
	g.work.Go(func() {
		g.awaitRegions(ctx)
		sources := sourcesOf(g.placement, g.spreader, g.endpoint, origin, t.model, manifest.Digest())
		chunks, err := g.puller.Pull(ctx, t.pinned, sources)
		defer g.watching.Nudge()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.target.pinned.Number != t.pinned.Number {
			return
		}
		g.pullsNow = false
		if err == nil {
			g.chunks = chunks
		}
		g.log.Info("Release has come.", zap.Uint64("release", uint64(t.pinned.Number)), zap.Error(err))
	})
}

// awaitRegions waits a little for a mirror that is known to be in this region:
// after a start of the whole system the replicas learn of each other by and by,
// and a copy from afar takes a part of a thin link.
func (g *agent) awaitRegions(ctx context.Context) {
	for range regionTries {
		unknown := false
		for _, addr := range g.spreader.Replicas() {
			region := g.spreader.RegionOf(addr)
			if region == g.placement.Region {
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
		case <-g.clock.After(regionPause):
		}
	}
}

func (g *agent) reduce(event stager.Event) {
	g.mu.Lock()
	effects := g.reducer.Reduce(g.clock.Now(), event)
	t, chunks := g.target, g.chunks
	g.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case stager.Stage:
			g.work.Go(func() { g.stage(t, chunks) })
		case stager.Order:
			g.work.Go(func() { g.order(e) })
		case stager.Announce:
			g.mu.Lock()
			g.serves = &e.Release
			g.mu.Unlock()
			g.announce()
		}
	}
}

// announce tells the others what the engine serves, sooner than its next report.
func (g *agent) announce() {
	own, _ := g.records()
	g.mu.Lock()
	serves := g.serves
	g.mu.Unlock()
	if serves == nil || own.Upstream == "" || (own.Stamp != 0 && own.Noted == *serves) {
		return
	}
	g.spreader.Note(own.Upstream, *serves, max(own.Stamp+1, uint64(g.clock.Now().UnixMilli())))
	g.log.Info("Engine serves.", zap.String("upstream", string(own.Upstream)), zap.Uint64("release", uint64(*serves)))
}
