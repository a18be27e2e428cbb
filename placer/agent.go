package placer

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/registrar"
	"celeryvalve/repeater"
	"celeryvalve/spreader"
	"celeryvalve/stager"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

const (
	// agentInterval is how often the engine is looked at.
	agentInterval = 200 * time.Millisecond
	engineTimeout = time.Second
	// stageTimeout bounds putting and reading back all chunks of a release.
	stageTimeout = 10 * time.Second
	// storeReleases is how many releases the store holds: the one that serves, the
	// wanted one, and one more that is named meanwhile.
	storeReleases = 3
	// stripes is into how many parts a release is cut, so that each of a dozen
	// instances hands on one.
	stripes = 16
	// progressDeadline is how long a source of chunks may bring nothing: a quarter
	// of what is left after a transfer without faults.
	progressDeadline = 1200 * time.Millisecond
	setAside         = 4 * time.Second
	chunkRetry       = 150 * time.Millisecond
	originStall      = 3 * time.Second
	// lastToken ranks engines that hold nothing behind those that do.
	lastToken = 1
	// linkShare is the part of the instance's link that transfers take each way.
	linkShare = 0.9
)

func agentModule() fx.Option {
	return fx.Options(
		fx.Provide(newAgent, func(a *agent) drainer { return a }),
		fx.Invoke(serveAgent),
	)
}

// agent brings the wanted weights to the engine on its instance.
type agent struct {
	placement   parser.Placement
	view        *declarer.View
	spreader    *spreader.Spreader
	engine      *platform.Engine
	transferrer *transferrer.Transferrer
	clock       clockwork.Clock
	log         *zap.Logger
	watching    *repeater.Repeater
	token       identifier.FencingToken

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	reducer *stager.Reducer
	target  target
	held    map[declarer.ReleaseNumber]bool
	// restoring is set while staged chunks are taken over.
	restoring bool
	peers     []fetcher.Peer
	serves    *declarer.ReleaseNumber
}

// target is the release that is wanted here.
type target struct {
	model    identifier.Model
	number   declarer.ReleaseNumber
	pinned   declarer.Pinned
	manifest *verifier.Manifest
}

func newAgent(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, a asserter.Asserter, log *zap.Logger) (*agent, error) {
	g := &agent{
		placement: placement,
		view:      view,
		spreader:  s,
		engine:    platform.NewEngine(placement.Upstream),
		clock:     clock,
		log:       log.Named("agent"),
		// The only giver of orders is the process beside the engine. Its start tells
		// it from the one before.
		token:   identifier.FencingToken(clock.Now().UnixMilli()),
		reducer: stager.New(stager.Config{Within: placement.Bounds.ReleaseWithin}),
		held:    make(map[declarer.ReleaseNumber]bool),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: placement.Memory / 4})
	if err != nil {
		return nil, err
	}
	cfg := transferrer.Config{Fetcher: g.fetcherConfig(), OriginStall: originStall, LeaseTimeout: engineTimeout, Origin: chunkOrigin{view, &origins{}}}
	g.transferrer = transferrer.New(cfg, clock, store, transferrer.Connect(e), lessor{clock}, set, log, a)
	g.transferrer.OnEffect = g.onTransfer
	for _, entry := range fetcher.Messages() {
		e.Handle(entry.Kind(), g.transferrer.Handle)
	}
	g.watching = repeater.New(clock, agentInterval, g.watch)
	return g, nil
}

func (g *agent) fetcherConfig() fetcher.Config {
	cfg := fetcher.DefaultConfig()
	cfg.Self = g.peer(g.placement.Region, g.placement.AvailabilityZone)
	cfg.Stripes = stripes
	cfg.ProgressDeadline = progressDeadline
	cfg.SetAside = setAside
	cfg.RetryDelay = chunkRetry
	cfg.StoreLimit = g.placement.Memory / 4
	if g.placement.Link > 0 {
		cfg.UploadBudget = linkShare * g.placement.Link
		cfg.DownloadBudget = linkShare * g.placement.Link
	}
	return cfg
}

// peer returns this agent among the members of a transfer. The address of an
// engine names its agent: both are on one instance.
func (g *agent) peer(region identifier.Region, zone identifier.AvailabilityZone) fetcher.Peer {
	return fetcher.Peer{
		Upstream:         identifier.Upstream(g.placement.Inner.String()),
		Region:           region,
		AvailabilityZone: zone,
		Address:          g.placement.Inner,
	}
}

func serveAgent(lc fx.Lifecycle, g *agent) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			g.work.Go(func() {
				if err := g.transferrer.Run(g.ctx); err != nil {
					g.log.Error("Transfers ended.", zap.Error(err))
				}
			})
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
	g.follow(own, all, report)
	loading := 0
	for _, r := range all {
		if r.Release == 0 && r.Upstream != own.Upstream {
			loading++
		}
	}
	g.reduce(stager.Observed{Report: report, Engines: len(all), Loading: loading})
	g.announce(own)
}

// records returns the record of the engine beside this agent, and those of all
// engines of its service.
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

// follow brings the transfer to the release that is wanted. What the engine has
// staged already is taken over first.
func (g *agent) follow(own registrar.Record, all []registrar.Record, report stager.Report) {
	declared := g.view.Declared()
	engine := declared.Declaration.Services[own.Service].Engine
	if engine == nil {
		return
	}
	release := declared.Releases[engine.Model]
	pinned, ok := release.Pin(release.Wanted)
	if !ok {
		return
	}
	g.mu.Lock()
	changed := g.target.number != pinned.Number || g.target.model != engine.Model
	restoring := g.restoring
	g.mu.Unlock()
	if restoring || (changed && !g.retarget(engine.Model, pinned, report)) {
		return
	}
	g.followPeers(all)
	g.mu.Lock()
	t, held := g.target, g.held[g.target.number]
	g.mu.Unlock()
	g.reduce(stager.Wanted{Model: t.model, Release: t.number, Held: held})
}

func (g *agent) retarget(model identifier.Model, pinned declarer.Pinned, report stager.Report) bool {
	m, err := verifier.FromDigests(verifier.Description{
		Model:     model,
		Version:   identifier.WeightVersion(strconv.FormatUint(uint64(pinned.Number), 10)),
		ChunkSize: pinned.ChunkSize,
	}, pinned.Digests)
	if err != nil {
		g.log.Error("A pinned release makes no manifest.", zap.Error(err))
		return false
	}
	g.log.Info("Release is wanted.", zap.String("model", string(model)), zap.Uint64("release", uint64(pinned.Number)))
	g.mu.Lock()
	g.target = target{model: model, number: pinned.Number, pinned: pinned, manifest: m}
	g.peers = nil
	t := g.target
	g.restoring = report.Release == pinned.Number
	restoring := g.restoring
	g.mu.Unlock()
	g.transferrer.Offer(m)
	if restoring {
		g.work.Go(func() {
			g.restoreChunks(t)
			g.want(t)
		})
		return false
	}
	g.want(t)
	return true
}

// want begins the transfer of the target.
func (g *agent) want(t target) {
	g.transferrer.Send(g.ctx, fetcher.Wanted{
		Manifest: t.manifest.Digest(),
		Name:     fetcher.Name{Model: t.model},
		Source:   sourceOf(t.model, t.number),
		Favour:   fetcher.OriginBytes,
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restoring = false
}

// followPeers tells the transferrer who wants the release. Those that hold any
// come first: they are up and have room to hand on.
func (g *agent) followPeers(all []registrar.Record) {
	peers := make([]fetcher.Peer, 0, len(all))
	for _, r := range all {
		if r.State == registrar.Gone {
			continue
		}
		p := g.peer(r.Region, r.AvailabilityZone)
		p.Address = innerOf(r, g.placement)
		p.Upstream = identifier.Upstream(p.Address.String())
		if r.Release == 0 {
			p.Token = lastToken
		}
		peers = append(peers, p)
	}
	g.mu.Lock()
	same := equalPeers(peers, g.peers)
	g.peers = peers
	manifest := g.target.manifest
	g.mu.Unlock()
	if !same {
		g.transferrer.Send(g.ctx, fetcher.PeersChanged{Manifest: manifest.Digest(), Peers: peers})
	}
}

// restoreChunks reads what the engine has staged of a release that it serves, so
// that others need not read it from the origin.
func (g *agent) restoreChunks(t target) {
	ctx, cancel := context.WithTimeout(g.ctx, stageTimeout)
	defer cancel()
	restored := 0
	for i, digest := range t.pinned.Digests {
		data, err := g.engine.Get(ctx, t.model, i, t.pinned.ChunkSize)
		if err == nil {
			err = g.transferrer.Restore(ctx, digest, data)
		}
		if err != nil {
			g.log.Info("A staged chunk can't be taken over.", zap.Int("chunk", i), zap.Error(err))
			continue
		}
		restored++
	}
	g.log.Info("Took over staged chunks.", zap.Uint64("release", uint64(t.number)), zap.Int("chunks", restored))
}

// onTransfer notes which release is here whole.
func (g *agent) onTransfer(effect fetcher.Effect) {
	completed, ok := effect.(fetcher.Completed)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.manifest != nil && completed.Weights.Manifest().Digest() == g.target.manifest.Digest() {
		g.held[g.target.number] = true
	}
}

func (g *agent) reduce(event stager.Event) {
	g.mu.Lock()
	effects := g.reducer.Reduce(g.clock.Now(), event)
	t := g.target
	g.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case stager.Stage:
			g.work.Go(func() { g.stage(t) })
		case stager.Order:
			g.work.Go(func() { g.order(e) })
		case stager.Announce:
			g.mu.Lock()
			g.serves = &e.Release
			g.mu.Unlock()
			own, _ := g.records()
			g.announce(own)
		}
	}
}

// announce tells the others what the engine serves, sooner than its next report.
func (g *agent) announce(own registrar.Record) {
	g.mu.Lock()
	serves := g.serves
	g.mu.Unlock()
	if serves == nil || own.Upstream == "" || own.Release == *serves {
		return
	}
	own.Release = *serves
	own.Sequence++
	g.spreader.Report(own)
	g.log.Info("Engine serves.", zap.String("upstream", string(own.Upstream)), zap.Uint64("release", uint64(*serves)))
}

// stage puts the chunks that the engine lacks, and reads all of them back.
func (g *agent) stage(t target) {
	ctx, cancel := context.WithTimeout(g.ctx, stageTimeout)
	defer cancel()
	err := g.stageChunks(ctx, t)
	if err != nil {
		g.log.Warn("Chunks can't be staged.", zap.Uint64("release", uint64(t.number)), zap.Error(err))
	}
	g.reduce(stager.Staged{Release: t.number, Whole: err == nil})
}

// stageRounds is how often a chunk that reads back spoilt is put again.
const stageRounds = 3

func (g *agent) stageChunks(ctx context.Context, t target) error {
	var missing []int
	for i := range t.pinned.Digests {
		missing = append(missing, i)
	}
	for round := 0; len(missing) > 0; round++ {
		if round > 0 {
			for _, i := range missing {
				data, err := g.transferrer.Chunk(t.pinned.Digests[i])
				if err != nil {
					return err
				}
				if err := g.engine.Put(ctx, t.model, i, data); err != nil {
					return err
				}
			}
		}
		if round > stageRounds {
			return errSpoilt
		}
		var err error
		if missing, err = g.spoilt(ctx, t, missing); err != nil {
			return err
		}
	}
	return nil
}

// spoilt returns those of the chunks that don't read back as pinned.
func (g *agent) spoilt(ctx context.Context, t target, chunks []int) ([]int, error) {
	var spoilt []int
	for _, i := range chunks {
		data, err := g.engine.Get(ctx, t.model, i, t.pinned.ChunkSize)
		if err != nil {
			return nil, err
		}
		if _, err := verifier.VerifyBytes(t.pinned.Digests[i], data); err != nil {
			spoilt = append(spoilt, i)
		}
	}
	return spoilt, nil
}

func (g *agent) order(o stager.Order) {
	ctx, cancel := context.WithTimeout(g.ctx, engineTimeout)
	defer cancel()
	accepted, err := g.engine.Load(ctx, o, g.token)
	g.log.Info("Gave an order to load.", zap.Uint64("release", uint64(o.Release)), zap.Uint64("expect", o.Expect),
		zap.Bool("accepted", accepted), zap.Error(err))
	g.reduce(stager.Ordered{Accepted: accepted})
}

func equalPeers(a, b []fetcher.Peer) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if cmp.Compare(a[i].Upstream, b[i].Upstream) != 0 || a[i].Token != b[i].Token {
			return false
		}
	}
	return true
}
