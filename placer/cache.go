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
	"celeryvalve/stager"
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
	clock      clockwork.Clock
	sources    sources
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

// cachePull is the transfer of the newest pinned release of a model.
type cachePull struct {
	pinned declarer.Pinned
	puller *puller.Puller
	cancel context.CancelFunc
	// names holds the names of the model's releases with times on this process's clock.
	names []declarer.WantedRelease
}

// progress returns which part of the chunks has arrived.
func (p cachePull) progress() float64 {
	return float64(p.puller.Held()) / float64(len(p.pinned.Digests))
}

func newCache(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *cache {
	c := &cache{
		placement: placement,
		view:      view,
		clock:     clock,
		sources:   sources{placement: placement, spreader: s, endpoint: e, clock: clock, isCache: true},
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

// reconcile pulls each newly pinned release. The one before it is pulled to its end if engines
// load that first.
func (c *cache) reconcile(context.Context) {
	declared := c.view.Declared()
	for model, release := range declared.Releases {
		previous, known := c.pulls[model]
		release.Names = localNames(c.clock.Now(), release.Names, previous.names)
		pinned, ok := release.Pin(release.Wanted)
		if !ok || (known && previous.pinned.Number == pinned.Number) {
			continue
		}
		if known && !c.isBridge(declared.Declaration, release, previous, pinned) {
			previous.cancel()
		}
		c.pulls[model] = c.pull(declared.Declaration, target{model: model, pinned: pinned}, release.Names)
	}
}

// isBridge reports whether engines may load the release that is being pulled before the newer
// one.
func (c *cache) isBridge(d declarer.Declaration, release declarer.Release, p cachePull, newer declarer.Pinned) bool {
	pair := newReleasePair(d, release, newer)
	rolloutTime := c.placement.Bounds.ReleaseDeadline
	inForceUntil := stager.RuledOutAt(pair.namedAt(p.pinned.Number), rolloutTime)
	return pair.earlier.Number == p.pinned.Number &&
		pair.bridge(p.progress(), 0, inForceUntil, rolloutTime).Saving(c.clock.Now()) > 0
}

// pull starts to fetch a release, and passes on each of its chunks as it arrives.
func (c *cache) pull(declaration declarer.Declaration, t target, names []declarer.WantedRelease) cachePull {
	ctx, cancel := context.WithCancel(c.ctx)
	p := cachePull{pinned: t.pinned, puller: newPuller(c.placement, cacheRemoteDelay, c.clock, c.log), cancel: cancel, names: names}
	manifest, err := manifestOf(t.model, t.pinned)
	if err != nil {
		c.log.Error("Can't build the manifest of a pinned release.", zap.Error(err))
		return p
	}
	log := c.log.With(zap.String("model", string(t.model)), zap.Uint64("release", uint64(t.pinned.Number)))
	if manifest.Size() > storeLimit(c.placement)/2 {
		log.Warn("A release is too large for the memory of this cache.", zap.Int64("bytes", int64(manifest.Size())))
		return p
	}
	log.Info("Caching a release.")
	c.store.Hold(manifest.Digest(), manifest.ChunkCount())
	// If no origin is declared, only the mirrors are asked.
	origin, _ := c.origins.client(declaration)
	c.work.Go(func() {
		_, err := p.puller.Pull(ctx, puller.Task{
			Release: t.pinned,
			Sources: func() []puller.Source {
				if c.view.Declared().Releases[t.model].Wanted != t.pinned.Number {
					return c.sources.of(nil, t.model, manifest.Digest()) // the origin has newer chunks to send
				}
				return c.sources.of(origin, t.model, manifest.Digest())
			},
			Arrived: func(i int, data []byte) { c.store.Add(manifest.Digest(), verifier.ChunkIndex(i), data) },
		})
		log.Info("Cached a release.", zap.Error(err))
	})
	return p
}
