package transferrer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Config holds the settings of a Transferrer.
type Config struct {
	Fetcher fetcher.Config
	// InterRegionUploadRate limits the upload rate to other regions. Zero is unlimited.
	InterRegionUploadRate identifier.BytesPerSecond
	// MembersFirst exempts the members from the limit of the upload rate. All other peers
	// wait for them, and are served in turns.
	MembersFirst bool
	// Relays reports whether a peer that is no member passes chunks on to others. With
	// MembersFirst such peers have the first turn. It may be nil.
	Relays func(identifier.Upstream) bool
	// OriginStallTimeout is how long a read from the origin may receive no data. If Origin
	// is set, it limits the whole read of a chunk instead.
	OriginStallTimeout time.Duration
	// LeaseTimeout limits the time of one request to the Lessor.
	LeaseTimeout time.Duration
	// Origin serves the chunks if the origin does not support HTTP range requests.
	// Otherwise it is nil. Manifests are not read from it: pass them to AddManifest.
	Origin ChunkOrigin
}

// ChunkOrigin is an origin that serves chunks by number.
type ChunkOrigin interface {
	// Chunk reads chunk i, of size bytes, from the source that fetcher.Wanted names.
	// The caller verifies the data.
	Chunk(ctx context.Context, source string, i verifier.ChunkIndex, size identifier.ByteCount) ([]byte, error)
}

const (
	tickInterval = 100 * time.Millisecond
	eventBacklog = 256
)

// counters holds the transfer metrics: bytes received by source, bytes sent, and
// corrupt chunks.
type counters struct {
	fromOrigin, fromPeers, sent, corrupt *metrics.Counter
}

// Transferrer executes the effects of one fetcher.Fetcher and feeds it events.
type Transferrer struct {
	cfg                Config
	clock              clockwork.Clock
	store              *Store
	dialer             Dialer
	lessor             Lessor
	log                *zap.Logger
	origin             *origin
	uploadLimiter      *rateLimiter
	uploads            *uploadQueue
	downloadLimiter    *rateLimiter
	interRegionLimiter *rateLimiter
	counters           counters
	events             chan fetcher.Event
	work               sync.WaitGroup
	// ctx is cancelled when Run ends. All fetches and requests in progress use it.
	ctx    context.Context
	cancel context.CancelFunc
	// OnEffect receives Completed, Failed and BlamePeer effects, on the goroutine of
	// Run. It must be set before Run and must not block.
	OnEffect func(fetcher.Effect)

	mu          sync.Mutex
	fetcher     *fetcher.Fetcher
	manifests   map[identifier.Digest]*verifier.Manifest
	fetches     map[fetchKey]context.CancelFunc
	requests    map[fetcher.RequestID]peerRequest
	lastRequest fetcher.RequestID
	regions     map[identifier.Upstream]identifier.Region
	peers       map[identifier.Digest][]fetcher.Peer
	// changed is closed and replaced when a manifest or a list of members arrives.
	changed chan struct{}
}

// New returns a Transferrer that is not running. Its metrics are registered in set.
func New(cfg Config, clock clockwork.Clock, store *Store, dialer Dialer, lessor Lessor,
	set *metrics.Set, log *zap.Logger, a asserter.Asserter) *Transferrer {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transferrer{
		cfg:                cfg,
		clock:              clock,
		store:              store,
		dialer:             dialer,
		lessor:             lessor,
		log:                log.Named("transferrer"),
		uploadLimiter:      newRateLimiter(cfg.Fetcher.UploadRate),
		downloadLimiter:    newRateLimiter(cfg.Fetcher.DownloadRate),
		interRegionLimiter: newRateLimiter(cfg.InterRegionUploadRate),
		counters: counters{
			fromOrigin: set.NewCounter(`celeryvalve_weights_received_bytes_total{source="Origin"}`),
			fromPeers:  set.NewCounter(`celeryvalve_weights_received_bytes_total{source="Peers"}`),
			sent:       set.NewCounter(`celeryvalve_weights_sent_bytes_total`),
			corrupt:    set.NewCounter(`celeryvalve_weights_corrupt_chunks_total`),
		},
		events:    make(chan fetcher.Event, eventBacklog),
		ctx:       ctx,
		cancel:    cancel,
		OnEffect:  func(fetcher.Effect) {},
		fetcher:   fetcher.New(cfg.Fetcher, a),
		manifests: make(map[identifier.Digest]*verifier.Manifest),
		fetches:   make(map[fetchKey]context.CancelFunc),
		requests:  make(map[fetcher.RequestID]peerRequest),
		regions:   make(map[identifier.Upstream]identifier.Region),
		peers:     make(map[identifier.Digest][]fetcher.Peer),
		changed:   make(chan struct{}),
	}
	t.uploads = newUploadQueue(t.uploadLimiter, cfg.Relays)
	t.origin = &origin{
		client:       newOriginClient(),
		clock:        clock,
		stallTimeout: cfg.OriginStallTimeout,
		limiter:      t.downloadLimiter,
		etags:        make(map[string]string),
		onETagChange: t.warnOriginFileChanged,
	}
	return t
}

// Send queues an event for the reducer. It blocks while the queue is full, and
// discards the event if ctx or Run ends first.
func (t *Transferrer) Send(ctx context.Context, e fetcher.Event) {
	select {
	case t.events <- e:
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
}

// SetInterRegionUploadRate changes the limit of the upload rate to other regions.
func (t *Transferrer) SetInterRegionUploadRate(r identifier.BytesPerSecond) {
	t.interRegionLimiter.set(r)
}

// Snapshot returns the progress of every transfer.
func (t *Transferrer) Snapshot() []fetcher.Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetcher.Snapshot(t.clock.Now())
}

// Run restores stored chunks and then processes events until ctx ends. It returns
// an error only if the store can't be restored. It may be called once.
func (t *Transferrer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.cancel)
	defer stop()
	defer t.work.Wait()
	defer t.cancel()
	chunks, err := t.store.Restore()
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		t.handle(fetcher.ChunkRestored{Chunk: chunk})
	}
	ticker := t.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return nil
		case e := <-t.events:
			t.handle(e)
		case <-ticker.Chan():
			t.handle(fetcher.Ticked{})
		}
	}
}

// handle passes one event to the reducer and executes the resulting effects.
func (t *Transferrer) handle(e fetcher.Event) {
	t.mu.Lock()
	switch e := e.(type) {
	case fetcher.ManifestArrived:
		t.manifests[e.Manifest.Digest()] = e.Manifest
		t.notifyChange()
	case fetcher.Cancelled:
		delete(t.manifests, e.Manifest)
		delete(t.peers, e.Manifest)
	case fetcher.PeersChanged:
		t.peers[e.Manifest] = e.Peers
		t.notifyChange()
		for _, p := range e.Peers {
			t.regions[p.Upstream] = p.Region
		}
	}
	effects := t.fetcher.Reduce(t.clock.Now(), e)
	t.mu.Unlock()
	for _, effect := range effects {
		t.execute(effect)
	}
}

// notifyChange wakes the goroutines that wait for a manifest or for members. The
// caller holds the lock.
func (t *Transferrer) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// execute carries out one effect without blocking: fetches, lease requests and file
// verification run in the background.
func (t *Transferrer) execute(effect fetcher.Effect) {
	switch e := effect.(type) {
	case fetcher.FetchManifest:
		t.work.Go(func() { t.fetchManifest(e) })
	case fetcher.FetchChunkFromPeer:
		source := fetcher.Source{Peer: e.Peer.Upstream}
		t.fetch(fetchKey{e.Manifest, e.Chunk, source}, time.Time{}, func(ctx context.Context) ([]byte, error) {
			return t.requestChunk(ctx, e)
		})
	case fetcher.FetchChunkFromOrigin:
		m := t.manifest(e.Manifest) // a cancelled transfer has none by the time that the fetch runs
		t.fetch(fetchKey{e.Manifest, e.Chunk, fetcher.Origin}, e.Expires, func(ctx context.Context) ([]byte, error) {
			l, _ := m.Chunk(e.Chunk)
			return t.readOrigin(ctx, e, m, l)
		})
	case fetcher.CancelFetch:
		t.cancelFetch(fetchKey{e.Manifest, e.Chunk, e.Source})
	case fetcher.RequestOriginLease:
		t.work.Go(func() { t.requestLease(e) })
	case fetcher.SendChunk:
		t.deliverReply(e.Request, reply{digest: e.Digest})
	case fetcher.ReportChunkDelay:
		t.deliverReply(e.Request, reply{delayed: true})
	case fetcher.RefuseChunk:
		t.deliverReply(e.Request, reply{refused: e.Reason, retryAfter: e.RetryAfter})
	case fetcher.VerifyFiles:
		m := t.manifest(e.Manifest)
		t.work.Go(func() { t.verifyFiles(m) })
	case fetcher.DropChunks:
		t.store.Drop(e.Digests)
	case fetcher.SetBudgets:
		t.uploadLimiter.set(e.Upload)
		t.downloadLimiter.set(e.Download)
	default:
		t.report(effect)
	}
}

// AddManifest adds a manifest, which is then not fetched.
func (t *Transferrer) AddManifest(m *verifier.Manifest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.manifests[m.Digest()] = m
	t.notifyChange()
}

// AddChunk stores a chunk that this instance already has. It returns an error if
// data does not match the digest or can't be stored.
func (t *Transferrer) AddChunk(ctx context.Context, digest identifier.Digest, data []byte) error {
	chunk, err := verifier.VerifyBytes(digest, data)
	if err != nil {
		return err
	}
	if err := t.store.Put(chunk, data); err != nil {
		return err
	}
	t.Send(ctx, fetcher.ChunkRestored{Chunk: chunk})
	return nil
}

// report logs an effect that concerns operators and passes it to OnEffect.
func (t *Transferrer) report(effect fetcher.Effect) {
	switch e := effect.(type) {
	case fetcher.ReportSourceFailure:
		if e.Reason == fetcher.Corrupt {
			t.counters.corrupt.Inc()
		}
		t.log.Warn("Chunk source failed.", zap.String("Peer", string(e.Source.Peer)), zap.String("Reason", string(e.Reason)))
	case fetcher.Failed:
		t.log.Error("Transfer is blocked until an operator acts.", zap.String("Problem", e.Problem), zap.String("Remedy", e.Remedy))
	case fetcher.Completed:
		t.logCompleted(e.Weights.Manifest().Digest())
	}
	t.OnEffect(effect)
}

// logCompleted logs where the chunks of a verified release came from.
func (t *Transferrer) logCompleted(manifest identifier.Digest) {
	for _, p := range t.Snapshot() {
		if p.Manifest == manifest {
			t.log.Info("Weights are verified.", zap.Stringer("Manifest", manifest), zap.Int64("FromOrigin", int64(p.FromOrigin)),
				zap.Int64("FromPeers", int64(p.FromPeers)), zap.Int64("Reused", int64(p.Reused)))
		}
	}
}

func (t *Transferrer) warn(message string, err error) {
	t.log.Warn(message, zap.Error(err))
}

func (t *Transferrer) warnOriginFileChanged(file string) {
	t.log.Warn("File on the origin changed although its URL did not.", zap.String("URL", file))
}

func (t *Transferrer) manifest(digest identifier.Digest) *verifier.Manifest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.manifests[digest]
}

func (t *Transferrer) requestLease(e fetcher.RequestOriginLease) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.LeaseTimeout)
	defer cancel()
	answer, err := t.lessor.Lease(ctx, e)
	if err != nil {
		t.warn("Can't get an origin lease.", err)
		answer = fetcher.OriginLeaseAnswered{Manifest: e.Manifest, Chunks: e.Chunks, Copy: e.Copy}
	}
	t.Send(t.ctx, answer)
}

// verifyFiles reads every file of the manifest back from the store, verifies it and
// sends the result to the reducer.
func (t *Transferrer) verifyFiles(m *verifier.Manifest) {
	weights, err := m.VerifyFiles(func(f verifier.File) (io.ReadCloser, error) { return t.store.Open(m, f) })
	if err != nil {
		t.Send(t.ctx, fetcher.FilesInvalid{Manifest: m.Digest(), Problem: err.Error()})
		return
	}
	t.Send(t.ctx, fetcher.FilesVerified{Weights: weights})
}

// Chunk returns the verified bytes of a stored chunk, or an error of kind NotFound
// if the chunk is not stored.
func (t *Transferrer) Chunk(digest identifier.Digest) ([]byte, error) {
	return t.store.Get(digest)
}
