package placer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/puller"
	"celeryvalve/repeater"
	"celeryvalve/spreader"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

const (
	// cacheReconcileInterval is how often a cache checks which release is wanted. A change
	// of the declaration is handled at once.
	cacheReconcileInterval = time.Second
	// cacheUploadFraction is the fraction of an entry's link that chunks may take. The rest
	// is for requests and answers.
	cacheUploadFraction = 0.85
	// cacheDelayInterval is how often an instance that waits for a chunk is told that the
	// cache is alive.
	cacheDelayInterval = 600 * time.Millisecond
	// cacheRemoteDelay is how long the mirrors of a region may lack a chunk before its
	// caches probe those of other regions.
	cacheRemoteDelay = 500 * time.Millisecond
)

// cacheModule runs a cache on an entry without a disk.
func cacheModule() fx.Option {
	return fx.Options(fx.Provide(newCache), fx.Invoke(serveCache))
}

// cache holds the wanted releases for the instances of its region, in addition to the
// mirrors there, whose links alone would not feed dozens of instances at once.
type cache struct {
	placement  parser.Placement
	view       *declarer.View
	sources    sources
	puller     *puller.Puller
	store      *transferrer.Cache
	origins    originCache
	log        *zap.Logger
	reconciler *repeater.Repeater

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// pulls is used only by the goroutine of reconcile.
	pulls map[identifier.Model]cachePull
}

// cachePull is the transfer of the release that is wanted of a model.
type cachePull struct {
	number declarer.ReleaseNumber
	cancel context.CancelFunc
}

func newCache(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *cache {
	c := &cache{
		placement: placement,
		view:      view,
		sources:   sources{placement: placement, spreader: s, endpoint: e, clock: clock, isCache: true},
		puller:    newPuller(placement, cacheRemoteDelay, clock, log),
		store: transferrer.NewCache(transferrer.CacheConfig{
			UploadRate:    identifier.BytesPerSecond(cacheUploadFraction * float64(placement.LinkRate)),
			Relays:        relaysIn(s),
			DelayInterval: cacheDelayInterval,
		}, clock, set),
		log:   log.Named("cache"),
		pulls: make(map[identifier.Model]cachePull),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, entry := range fetcher.Messages() {
		e.Handle(entry.Kind(), c.store.Handle)
	}
	c.reconciler = repeater.New(clock, cacheReconcileInterval, c.reconcile)
	view.Watch(c.reconciler.Trigger)
	return c
}

func serveCache(lc fx.Lifecycle, c *cache) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			c.reconciler.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			c.reconciler.Stop()
			c.cancel()
			c.work.Wait()
			return nil
		},
	})
}

// reconcile pulls each newly wanted release.
func (c *cache) reconcile(context.Context) {
	declared := c.view.Declared()
	for model, release := range declared.Releases {
		pinned, ok := release.Pin(release.Wanted)
		pull, known := c.pulls[model]
		if !ok || (known && pull.number == pinned.Number) {
			continue
		}
		if known {
			pull.cancel()
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.pulls[model] = cachePull{number: pinned.Number, cancel: cancel}
		c.pull(ctx, declared.Declaration, target{model: model, pinned: pinned})
	}
}

// pull starts to fetch a release, and passes on each of its chunks as it arrives.
func (c *cache) pull(ctx context.Context, declaration declarer.Declaration, t target) {
	manifest, err := manifestOf(t.model, t.pinned)
	if err != nil {
		c.log.Error("Can't build the manifest of a pinned release.", zap.Error(err))
		return
	}
	log := c.log.With(zap.String("model", string(t.model)), zap.Uint64("release", uint64(t.pinned.Number)))
	if manifest.Size() > identifier.ByteCount(storeMemoryFraction*float64(c.placement.Memory)/2) {
		log.Warn("A release is too large for the memory of this cache.", zap.Int64("bytes", int64(manifest.Size())))
		return
	}
	log.Info("Caching a release.")
	c.store.Hold(manifest.Digest(), manifest.ChunkCount())
	// If no origin is declared, only the mirrors are asked.
	origin, _ := c.origins.client(declaration)
	c.work.Go(func() {
		_, err := c.puller.Pull(ctx, puller.Task{
			Release: t.pinned,
			Sources: func() []puller.Source { return c.sources.of(origin, t.model, manifest.Digest()) },
			Arrived: func(i int, data []byte) { c.store.Add(manifest.Digest(), verifier.ChunkIndex(i), data) },
		})
		log.Info("Cached a release.", zap.Error(err))
	})
}
