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
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

const (
	// mirrorInterval is how often the mirrors are looked at; what is wanted is heard
	// at once.
	mirrorInterval = 200 * time.Millisecond
	// mirrorReads is how many chunks one mirror reads from the origin at once, and
	// mirrorAhead how many it reads before anybody asks: all, since the origin may
	// be gone soon.
	mirrorReads = 2
	mirrorAhead = 1 << 10
	// mirrorUploads is how many chunks one mirror sends at once: what 32 instances
	// ask for, so that those that are frozen in the middle of theirs don't keep out
	// the others.
	mirrorUploads = 256
	// progressDeadline is how long a source of chunks may bring nothing.
	progressDeadline = 1200 * time.Millisecond
	// mirrorSetAside is for how long one that did is passed over: after an outage of
	// the origin the others have what is missing, while it seemed to stall.
	mirrorSetAside = time.Second
	chunkRetry     = 150 * time.Millisecond
	// originStall is how long one read from the origin may take: four times what it
	// takes while all mirrors read at once from a link of 10 Mbit/s.
	originStall  = 1500 * time.Millisecond
	leaseTimeout = time.Second
	// storeShare is the part of the memory that chunks may take.
	storeShare = 0.25
	// thinRate is what one mirror sends to other regions at most: about half of a
	// link between two regions, and more than an instance takes.
	thinRate identifier.BytesPerSecond = 1.25e6
)

// mirror holds the wanted releases for the instances of its region. The mirrors
// are the control replicas; they exchange chunks among them, so that the origin
// sends each about once and each thin link carries it about once.
type mirror struct {
	placement   parser.Placement
	view        *declarer.View
	spreader    *spreader.Spreader
	transferrer *transferrer.Transferrer
	log         *zap.Logger
	clock       clockwork.Clock
	watching    *repeater.Repeater
	keeper      *keeper

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// Of the goroutine of watch only.
	wants  map[identifier.Model]mirrored
	peered map[identifier.Digest][]fetcher.Peer
}

// mirrored is the release of one model that is mirrored now.
type mirrored struct {
	number   declarer.ReleaseNumber
	manifest identifier.Digest
}

func newMirror(placement parser.Placement, view *declarer.View, s *spreader.Spreader, e *connector.Endpoint,
	clock clockwork.Clock, set *metrics.Set, a asserter.Asserter, log *zap.Logger) (*mirror, error) {
	m := &mirror{
		placement: placement,
		view:      view,
		spreader:  s,
		clock:     clock,
		log:       log.Named("mirror"),
		wants:     make(map[identifier.Model]mirrored),
		peered:    make(map[identifier.Digest][]fetcher.Peer),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	limit := identifier.ByteCount(storeShare * float64(placement.Memory))
	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: limit})
	if err != nil {
		return nil, err
	}
	cfg := transferrer.Config{
		Fetcher:        mirrorConfig(placement, limit),
		ThinLinkBudget: thinRate,
		OriginStall:    originStall,
		LeaseTimeout:   leaseTimeout,
		Origin:         chunkOrigin{view, &origins{}},
	}
	m.transferrer = transferrer.New(cfg, clock, store, transferrer.Connect(e), lessor{clock}, set, log, a)
	m.keeper = newKeeper(placement.DataFolder, store, clock, log)
	m.transferrer.OnEffect = m.keep
	for _, entry := range fetcher.Messages() {
		e.Handle(entry.Kind(), m.transferrer.Handle)
	}
	m.watching = repeater.New(clock, mirrorInterval, m.watch)
	view.Watch(m.watching.Nudge)
	return m, nil
}

func mirrorConfig(placement parser.Placement, limit identifier.ByteCount) fetcher.Config {
	cfg := fetcher.DefaultConfig()
	cfg.Self = mirrorPeer(placement.Inner, placement.Region)
	cfg.Stripes = puller.Parts
	cfg.OriginReads = mirrorReads
	cfg.ReadAhead = mirrorAhead
	cfg.LeaseParts = 1
	cfg.Uploads = mirrorUploads
	cfg.ProgressDeadline = progressDeadline
	cfg.SetAside = mirrorSetAside
	cfg.RetryDelay = chunkRetry
	cfg.StoreLimit = limit
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
					m.log.Error("Transfers ended.", zap.Error(err))
				}
			})
			m.work.Go(m.keeper.open)
			m.watching.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			m.watching.Stop()
			m.cancel()
			m.work.Wait()
			return nil
		},
	})
}

// takeKept takes up a chunk that the disk has kept.
func (m *mirror) takeKept(digest identifier.Digest, data []byte) error {
	return m.transferrer.Restore(m.ctx, digest, data)
}

// keep hands a release that is here whole to the keeper.
func (m *mirror) keep(effect fetcher.Effect) {
	completed, ok := effect.(fetcher.Completed)
	if !ok {
		return
	}
	manifest := completed.Weights.Manifest()
	m.work.Go(func() { m.keeper.keep(m.ctx, manifest) })
}

// watch follows what is wanted and who mirrors it.
func (m *mirror) watch(context.Context) {
	for model, release := range m.view.Declared().Releases {
		pinned, ok := release.Pin(release.Wanted)
		if ok {
			m.follow(model, pinned)
		}
	}
}

func (m *mirror) follow(model identifier.Model, pinned declarer.Pinned) {
	want := m.wants[model]
	if want.number != pinned.Number {
		manifest, err := manifestOf(model, pinned)
		if err != nil {
			m.log.Error("A pinned release makes no manifest.", zap.Error(err))
			return
		}
		want = mirrored{number: pinned.Number, manifest: manifest.Digest()}
		m.want(model, want, manifest)
	}
	peers := m.peers()
	if !slices.Equal(peers, m.peered[want.manifest]) {
		m.peered[want.manifest] = peers
		m.transferrer.Send(m.ctx, fetcher.PeersChanged{Manifest: want.manifest, Peers: peers})
	}
}

func (m *mirror) want(model identifier.Model, want mirrored, manifest *verifier.Manifest) {
	m.wants[model] = want
	m.log.Info("Mirroring a release.", zap.String("model", string(model)), zap.Uint64("release", uint64(want.number)))
	// Before it is wanted: chunks that nothing wants yet are given up by and by.
	m.keeper.restore(manifest, m.takeKept)
	m.transferrer.Offer(manifest)
	m.transferrer.Send(m.ctx, fetcher.Wanted{
		Manifest: want.manifest,
		Name:     fetcher.Name{Model: model},
		Source:   sourceOf(model, want.number),
		Favour:   fetcher.OriginBytes,
	})
}

// peers returns the mirrors: the control replicas.
func (m *mirror) peers() []fetcher.Peer {
	var peers []fetcher.Peer
	for _, addr := range m.spreader.Replicas() {
		peers = append(peers, mirrorPeer(addr, m.spreader.RegionOf(addr)))
	}
	return peers
}
