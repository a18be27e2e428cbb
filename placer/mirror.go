package placer

import (
	"context"
	"net/netip"
	"slices"
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
	"celeryvalve/puller"
	"celeryvalve/repeater"
	"celeryvalve/spreader"
	"celeryvalve/stager"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

const (
	// mirrorReconcileInterval is how often the list of mirrors is checked. A change
	// of the declaration is handled at once.
	mirrorReconcileInterval = 200 * time.Millisecond
	// mirrorOriginReads is how many chunks one mirror reads from the origin at once,
	// and mirrorReadAhead how many it reads before a peer requests them: all, since
	// the origin may become unavailable soon.
	mirrorOriginReads = 2
	mirrorReadAhead   = 1 << 10
	// allOriginReads is how many chunks all mirrors read from the origin at once: enough
	// to keep its link busy, though an answer takes 0.1 s besides its transfer. What is
	// being read is lost if the origin fails.
	allOriginReads = 8
	// mirrorProbes is how many chunks a mirror that was restarted asks the others for at
	// once, and mirrorProbeRate how many a second: a release in about a second.
	mirrorProbes    = 16
	mirrorProbeRate = 500
	// mirrorUploads is how many chunks one mirror sends at once: as many as 32
	// instances request, so that instances that freeze during a transfer do not block
	// the others.
	mirrorUploads = 256
	// progressDeadline is how long a source of chunks may make no progress.
	progressDeadline = 1200 * time.Millisecond
	// mirrorSourceBackoff is how long a source that exceeded progressDeadline is
	// skipped. It is short since mirrors seem to stall during an outage of the
	// origin, but hold the missing chunks after it.
	mirrorSourceBackoff = time.Second
	chunkRetryDelay     = 100 * time.Millisecond
	// originReadTimeout limits the time of one read from the origin: four times what
	// it takes while all mirrors read at once over a link of 10 Mbit/s.
	originReadTimeout = 1500 * time.Millisecond
	leaseTimeout      = time.Second
	// storeMemoryFraction is the fraction of the memory that chunks may take.
	storeMemoryFraction = 0.25
	// pinPatience is how long the transfer of a release rests for a newer one whose digests
	// are not pinned yet: several times what that takes while the origin's link is free.
	pinPatience = time.Second
	// mirrorUploadFraction is the fraction of its link that a mirror sends to instances and
	// caches with. The rest is for requests, and for other mirrors: whole regions wait for
	// these.
	mirrorUploadFraction = 0.8
	// interRegionRate limits the rate at which one mirror sends to other regions:
	// about half of a link between two regions, and more than one instance receives.
	interRegionRate identifier.BytesPerSecond = 1.25e6
)

// mirror holds the wanted releases for the instances of its region. Every control
// replica has a mirror. Mirrors exchange chunks, so that the origin sends each chunk
// about once, and each link between regions carries it about once.
type mirror struct {
	placement   parser.Placement
	view        *declarer.View
	spreader    *spreader.Spreader
	transferrer *transferrer.Transferrer
	log         *zap.Logger
	clock       clockwork.Clock
	reconciler  *repeater.Repeater
	cache       *weightsCache
	progress    *progressReporter

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// inherited holds the releases that were pinned before this process first learned of
	// the declared state: other mirrors may hold their chunks.
	inheritedMu sync.Mutex
	inherited   map[identifier.Digest]bool

	// known, releases and lastPeers are used only by the goroutine of reconcile.
	known     bool // the declared state has been seen
	releases  map[identifier.Model]mirroredRelease
	lastPeers map[identifier.Digest][]fetcher.Peer
}

// mirroredRelease is the release of one model that is currently mirrored.
type mirroredRelease struct {
	number   declarer.ReleaseNumber
	manifest identifier.Digest
	// pausedFor is the newer release that this one rested for last, and pausedAt since when,
	// or zero if it goes on.
	pausedFor declarer.ReleaseNumber
	pausedAt  time.Time
	// after is the earlier release that is read first, since engines load it before this
	// one, or nil.
	after *mirroredRelease
	// pinned and names are what is known of the release, with times on this process's clock.
	pinned declarer.Pinned
	names  []declarer.WantedRelease
}

// wanted returns the event that begins the transfer. It replaces that of an earlier release,
// unless that is read first.
func (r mirroredRelease) wanted(model identifier.Model) fetcher.Wanted {
	return fetcher.Wanted{
		Manifest: r.manifest,
		Name:     fetcher.Name{Model: model},
		Source:   releaseSource(model, r.number),
		Favour:   fetcher.OriginBytes,
		Beside:   r.after != nil,
	}
}

func newMirror(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, a asserter.Asserter, log *zap.Logger) (*mirror, error) {
	m := &mirror{
		placement: placement,
		view:      view,
		spreader:  s,
		clock:     clock,
		log:       log.Named("mirror"),
		releases:  make(map[identifier.Model]mirroredRelease),
		lastPeers: make(map[identifier.Digest][]fetcher.Peer),
		inherited: make(map[identifier.Digest]bool),
		progress:  newProgressReporter(set, log.Named("mirror")),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	limit := storeLimit(placement)
	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: limit})
	if err != nil {
		return nil, err
	}
	cfg := transferrer.Config{
		Fetcher:               mirrorConfig(placement, limit),
		InterRegionUploadRate: interRegionRate,
		MembersFirst:          true,
		Relays:                relaysIn(s),
		OriginStallTimeout:    originReadTimeout,
		LeaseTimeout:          leaseTimeout,
		Origin:                chunkOrigin{view, &originCache{connections: allOriginReads}},
	}
	m.transferrer = transferrer.New(cfg, clock, store, transferrer.NewDialer(e), lessor{clock: clock, askPeers: m.isInherited}, set, log, a)
	m.cache = newWeightsCache(placement.DataFolder, store, clock, log)
	m.transferrer.OnEffect = m.cacheRelease
	for _, entry := range fetcher.Messages() {
		e.Handle(entry.Kind(), m.transferrer.Handle)
	}
	m.reconciler = repeater.New(clock, mirrorReconcileInterval, m.reconcile)
	view.Watch(m.reconciler.Trigger)
	return m, nil
}

// storeLimit returns how many bytes of chunks a process holds in its memory.
func storeLimit(placement parser.Placement) identifier.ByteCount {
	return identifier.ByteCount(storeMemoryFraction * float64(placement.Memory))
}

func mirrorConfig(placement parser.Placement, limit identifier.ByteCount) fetcher.Config {
	cfg := fetcher.DefaultConfig()
	cfg.Self = mirrorPeer(placement.InternalAddress, placement.Region)
	cfg.Stripes = puller.Stripes
	cfg.OriginReadsPerStripe = mirrorOriginReads
	cfg.OriginReads = allOriginReads
	cfg.ProbeWindow = mirrorProbes
	cfg.ProbeRate, cfg.ProbeBurst = mirrorProbeRate, mirrorProbeRate
	cfg.ReadAhead = mirrorReadAhead
	cfg.LeasesPerStripe = 1
	cfg.Uploads = mirrorUploads
	cfg.ProgressDeadline = progressDeadline
	cfg.EjectionTime = mirrorSourceBackoff
	cfg.RetryDelay = chunkRetryDelay
	cfg.StoreLimit = limit
	if placement.LinkRate > 0 {
		cfg.UploadRate = identifier.BytesPerSecond(mirrorUploadFraction * float64(placement.LinkRate))
	}
	return cfg
}

func mirrorPeer(addr netip.AddrPort, region identifier.Region) fetcher.Peer {
	return fetcher.Peer{Upstream: identifier.Upstream(addr.String()), Region: region, Address: addr}
}

func serveMirror(lc fx.Lifecycle, m *mirror) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.work.Go(func() {
				if err := m.transferrer.Run(m.ctx); err != nil {
					m.log.Error("Transfers stopped with an error.", zap.Error(err))
				}
			})
			go m.cache.load()
			m.reconciler.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			m.reconciler.Stop()
			m.cancel()
			m.work.Wait()
			return nil
		},
	})
}

// restoreChunk passes a chunk of the disk cache to the transferrer.
func (m *mirror) restoreChunk(digest identifier.Digest, data []byte) error {
	return m.transferrer.AddChunk(m.ctx, digest, data)
}

// cacheRelease saves a release in the disk cache once all its chunks are held. A stop waits for
// neither this nor load: they take as long as the disk, which has whole chunks at any time.
func (m *mirror) cacheRelease(effect fetcher.Effect) {
	completed, ok := effect.(fetcher.Completed)
	if !ok {
		return
	}
	manifest := completed.Weights.Manifest()
	go m.cache.save(m.ctx, manifest)
}

// reconcile starts to mirror newly wanted releases, and passes on changes of the list
// of mirrors.
func (m *mirror) reconcile(context.Context) {
	declared := m.view.Declared()
	for _, model := range declared.Followed() {
		release := declared.Releases[model]
		pinned, ok := release.Pin(release.Wanted)
		if ok {
			m.followRelease(declared, model, pinned)
		} else {
			m.restFor(model, release.Wanted)
		}
		counted := countProgress(declared.Declaration, model, release.Wanted, m.spreader.Upstreams())
		m.progress.report(m.clock.Now(), model, release.Wanted, counted)
	}
	m.known = m.known || declared.Revision > 0
}

// restFor pauses the transfer of a release that was replaced by one whose digests are not
// pinned yet: its reads delay those of the new manifest, and most of what they bring is of no
// use any more. The transfer goes on if the new release can't be pinned soon.
func (m *mirror) restFor(model identifier.Model, wanted declarer.ReleaseNumber) {
	release, ok := m.releases[model]
	if !ok || wanted <= release.number {
		return
	}
	now := m.clock.Now()
	switch {
	case release.pausedFor != wanted:
		release.pausedFor, release.pausedAt = wanted, now
		m.transferrer.Send(m.ctx, fetcher.Paused{Manifest: release.manifest, EndReads: true})
		m.log.Info("A release rests for a newer one.", zap.Uint64("release", uint64(release.number)), zap.Uint64("newer", uint64(wanted)))
	case !release.pausedAt.IsZero() && now.Sub(release.pausedAt) >= pinPatience:
		release.pausedAt = time.Time{}
		m.transferrer.Send(m.ctx, fetcher.Resumed{Manifest: release.manifest})
		m.log.Warn("A newer release can't be pinned yet.", zap.Uint64("release", uint64(release.number)), zap.Uint64("newer", uint64(wanted)))
	}
	m.releases[model] = release
}

func (m *mirror) isInherited(manifest identifier.Digest) bool {
	m.inheritedMu.Lock()
	defer m.inheritedMu.Unlock()
	return m.inherited[manifest]
}

func (m *mirror) inherit(manifest identifier.Digest) {
	m.inheritedMu.Lock()
	defer m.inheritedMu.Unlock()
	m.inherited[manifest] = true
}

func (m *mirror) followRelease(declared declarer.Declared, model identifier.Model, pinned declarer.Pinned) {
	release := m.releases[model]
	if release.number != pinned.Number {
		manifest, err := manifestOf(model, pinned)
		if err != nil {
			m.log.Error("Can't build the manifest of a pinned release.", zap.Error(err))
			return
		}
		previous := release
		release = mirroredRelease{number: pinned.Number, manifest: manifest.Digest(), pinned: pinned}
		release.names = localNames(m.clock.Now(), declared.Releases[model].Names, previous.names)
		if m.isBridge(declared, model, previous, release) {
			release.after = &previous
		}
		m.startMirroring(model, release, manifest)
	}
	if release.after != nil && !m.isBridge(declared, model, *release.after, release) {
		release = m.goOn(model, release)
	}
	m.updatePeers(release.manifest)
	if release.after != nil {
		m.updatePeers(release.after.manifest)
	}
}

// goOn reads a release that came after an earlier one, and drops what is missing of that: its
// time is over.
func (m *mirror) goOn(model identifier.Model, release mirroredRelease) mirroredRelease {
	held := m.progressOf(release.after.manifest)
	m.log.Info("The earlier release was read first.", zap.Uint64("release", uint64(release.number)), zap.Float64("held", held))
	release.after = nil
	m.releases[model] = release
	if held < 1 {
		m.transferrer.Send(m.ctx, release.wanted(model))
	}
	m.transferrer.Send(m.ctx, fetcher.Resumed{Manifest: release.manifest})
	return release
}

func (m *mirror) updatePeers(manifest identifier.Digest) {
	peers := m.peers()
	if !slices.Equal(peers, m.lastPeers[manifest]) {
		m.lastPeers[manifest] = peers
		m.transferrer.Send(m.ctx, fetcher.PeersChanged{Manifest: manifest, Peers: peers})
	}
}

// isBridge reports whether the rest of the earlier release is read before the newer one, since
// engines load it first.
func (m *mirror) isBridge(declared declarer.Declared, model identifier.Model, earlier, newer mirroredRelease) bool {
	held := m.progressOf(earlier.manifest)
	pair := newReleasePair(declared.Declaration, declared.Releases[model], newer.pinned)
	pair.names = newer.names
	if earlier.number == 0 || held >= 1 || pair.earlier.Number != earlier.number || pair.size() > storeLimit(m.placement) {
		return false
	}
	rolloutTime := m.placement.Bounds.ReleaseDeadline
	inForceUntil := stager.RuledOutAt(pair.namedAt(earlier.number), rolloutTime)
	return pair.bridge(held, m.progressOf(newer.manifest), inForceUntil, rolloutTime).IsNeeded(m.clock.Now())
}

// progressOf returns which part of a release's chunks is here.
func (m *mirror) progressOf(manifest identifier.Digest) float64 {
	for _, p := range m.transferrer.Snapshot() {
		if p.Manifest == manifest && p.Chunks > 0 {
			return float64(p.ChunksHeld) / float64(p.Chunks)
		}
	}
	return 0
}

func (m *mirror) startMirroring(model identifier.Model, release mirroredRelease, manifest *verifier.Manifest) {
	m.releases[model] = release
	if !m.known {
		m.inherit(release.manifest)
	}
	m.log.Info("Mirroring a release.", zap.String("model", string(model)), zap.Uint64("release", uint64(release.number)),
		zap.Bool("afterTheEarlier", release.after != nil))
	// Restored before the release is wanted, so that these chunks are not fetched.
	// Chunks that no transfer wants yet are not dropped at once.
	m.cache.restore(manifest, m.restoreChunk)
	m.transferrer.AddManifest(manifest)
	m.transferrer.Send(m.ctx, release.wanted(model))
	if release.after != nil {
		m.transferrer.Send(m.ctx, fetcher.Paused{Manifest: release.manifest})
	}
}

// peers returns the mirrors, whose addresses are those of the control replicas, without
// those that have fallen silent: the stripes of a lost root would wait for its time limits.
func (m *mirror) peers() []fetcher.Peer {
	addresses := m.spreader.ReplicaAddresses()
	if m.spreader.Connected() { // otherwise it may be this process that is cut off, or was frozen
		addresses = slices.DeleteFunc(addresses, m.spreader.IsSilent)
	}
	var peers []fetcher.Peer
	for _, addr := range addresses {
		peers = append(peers, mirrorPeer(addr, m.spreader.RegionOf(addr)))
	}
	return peers
}
