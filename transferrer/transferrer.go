package transferrer

import (
	"context"
	"io"
	"net/http"
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

// Config holds the settings of one agent's shell.
type Config struct {
	Fetcher fetcher.Config
	// ThinLinkBudget bounds the rate of uploads to other regions.
	ThinLinkBudget identifier.BytesPerSecond
	// OriginStall is how long a read from the origin may bring nothing.
	OriginStall time.Duration
	// LeaseTimeout bounds a request to control.
	LeaseTimeout time.Duration
	// Origin reads chunks where the origin is no server of files by ranges.
	Origin ChunkOrigin
}

// ChunkOrigin is an origin that gives chunks by their number.
type ChunkOrigin interface {
	// Chunk reads one chunk. The caller verifies it.
	Chunk(ctx context.Context, source string, i verifier.ChunkIndex, size identifier.ByteCount) ([]byte, error)
}

const (
	tickInterval = 250 * time.Millisecond
	eventBacklog = 256
)

// counters are the metrics of an agent's transfers.
type counters struct {
	fromOrigin, fromPeers, sent, corrupt *metrics.Counter
}

// Transferrer is the shell around one fetcher.Fetcher.
type Transferrer struct {
	cfg      Config
	clock    clockwork.Clock
	store    *Store
	dialer   Dialer
	lessor   Lessor
	log      *zap.Logger
	origin   *origin
	upload   *budget
	download *budget
	thin     *budget
	counters counters
	events   chan fetcher.Event
	work     sync.WaitGroup
	// ctx ends with Run, and with it everything under way.
	ctx    context.Context
	cancel context.CancelFunc
	// OnEffect is told about Completed, Failed and BlamePeer, on the goroutine of
	// Run. It must be set before Run and must not block.
	OnEffect func(fetcher.Effect)

	mu          sync.Mutex
	fetcher     *fetcher.Fetcher
	manifests   map[identifier.Digest]*verifier.Manifest
	fetches     map[fetchKey]context.CancelFunc
	requests    map[fetcher.RequestID]served
	lastRequest fetcher.RequestID
	regions     map[identifier.Upstream]identifier.Region
	peers       map[identifier.Digest][]fetcher.Peer
	// changed is closed whenever a manifest or a list of members comes.
	changed chan struct{}
}

// New returns a shell that is not running. set takes its metrics.
func New(cfg Config, clock clockwork.Clock, store *Store, dialer Dialer, lessor Lessor,
	set *metrics.Set, log *zap.Logger, a asserter.Asserter) *Transferrer {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transferrer{
		cfg:      cfg,
		clock:    clock,
		store:    store,
		dialer:   dialer,
		lessor:   lessor,
		log:      log.Named("transferrer"),
		upload:   newBudget(cfg.Fetcher.UploadBudget),
		download: newBudget(cfg.Fetcher.DownloadBudget),
		thin:     newBudget(cfg.ThinLinkBudget),
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
		requests:  make(map[fetcher.RequestID]served),
		regions:   make(map[identifier.Upstream]identifier.Region),
		peers:     make(map[identifier.Digest][]fetcher.Peer),
		changed:   make(chan struct{}),
	}
	t.origin = &origin{
		client:  &http.Client{},
		clock:   clock,
		stall:   cfg.OriginStall,
		budget:  t.download,
		etags:   make(map[string]string),
		changed: t.originChanged,
	}
	return t
}

// Send hands an event to the reducer. It blocks while the backlog is full, and
// gives up when ctx or Run ends.
func (t *Transferrer) Send(ctx context.Context, e fetcher.Event) {
	select {
	case t.events <- e:
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
}

// SetThinLinkBudget bounds the rate of uploads to other regions from now on.
func (t *Transferrer) SetThinLinkBudget(r identifier.BytesPerSecond) {
	t.thin.set(r)
}

// Snapshot returns the progress of every transfer.
func (t *Transferrer) Snapshot() []fetcher.Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetcher.Snapshot(t.clock.Now())
}

// Run restores stored chunks and works until ctx ends. It may be called once.
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

// handle feeds one event to the reducer and carries out what it decides.
func (t *Transferrer) handle(e fetcher.Event) {
	t.mu.Lock()
	switch e := e.(type) {
	case fetcher.ManifestArrived:
		t.manifests[e.Manifest.Digest()] = e.Manifest
		t.tellChange()
	case fetcher.Cancelled:
		delete(t.manifests, e.Manifest)
		delete(t.peers, e.Manifest)
	case fetcher.PeersChanged:
		t.peers[e.Manifest] = e.Peers
		t.tellChange()
		for _, p := range e.Peers {
			t.regions[p.Upstream] = p.Region
		}
	}
	effects := t.fetcher.Reduce(t.clock.Now(), e)
	t.mu.Unlock()
	for _, effect := range effects {
		t.carry(effect)
	}
}

// tellChange wakes those who wait for a manifest or for members.
func (t *Transferrer) tellChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// carry carries out one effect without blocking.
func (t *Transferrer) carry(effect fetcher.Effect) {
	switch e := effect.(type) {
	case fetcher.FetchManifest:
		t.work.Go(func() { t.fetchManifest(e) })
	case fetcher.FetchChunkFromPeer:
		source := fetcher.Source{Peer: e.Peer.Upstream}
		t.fetch(fetchKey{e.Manifest, e.Chunk, source}, time.Time{}, func(ctx context.Context) ([]byte, error) {
			return t.askPeer(ctx, e)
		})
	case fetcher.FetchChunkFromOrigin:
		t.fetch(fetchKey{e.Manifest, e.Chunk, fetcher.Origin}, e.Expires, func(ctx context.Context) ([]byte, error) {
			m := t.manifest(e.Manifest)
			l, _ := m.Chunk(e.Chunk)
			return t.readOrigin(ctx, e, m, l)
		})
	case fetcher.CancelFetch:
		t.cancelFetch(fetchKey{e.Manifest, e.Chunk, e.Source})
	case fetcher.AskOriginLease:
		t.work.Go(func() { t.askLease(e) })
	case fetcher.SendChunk:
		t.decide(e.Request, reply{digest: e.Digest})
	case fetcher.DelayChunk:
		t.decide(e.Request, reply{delayed: true})
	case fetcher.RefuseChunk:
		t.decide(e.Request, reply{refused: e.Reason, after: e.RetryAfter})
	case fetcher.VerifyFiles:
		m := t.manifest(e.Manifest)
		t.work.Go(func() { t.verifyFiles(m) })
	case fetcher.DropChunks:
		t.store.Drop(e.Digests)
	case fetcher.SetBudgets:
		t.upload.set(e.Upload)
		t.download.set(e.Download)
	default:
		t.report(effect)
	}
}

// Offer gives a manifest that need not be fetched.
func (t *Transferrer) Offer(m *verifier.Manifest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.manifests[m.Digest()] = m
	t.tellChange()
}

// Restore takes in the bytes of a chunk that the instance holds already.
func (t *Transferrer) Restore(ctx context.Context, digest identifier.Digest, data []byte) error {
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

// report logs what operators should know and hands it on.
func (t *Transferrer) report(effect fetcher.Effect) {
	switch e := effect.(type) {
	case fetcher.BlamePeer:
		if e.Reason == fetcher.Corrupt {
			t.counters.corrupt.Inc()
		}
		t.log.Warn("Source failed.", zap.String("Peer", string(e.Source.Peer)), zap.String("Reason", string(e.Reason)))
	case fetcher.Failed:
		t.log.Error("Transfer needs an operator.", zap.String("Problem", e.Problem), zap.String("Remedy", e.Remedy))
	case fetcher.Completed:
		t.log.Info("Weights are verified.", zap.Stringer("Manifest", e.Weights.Manifest().Digest()))
	}
	t.OnEffect(effect)
}

func (t *Transferrer) warn(message string, err error) {
	t.log.Warn(message, zap.Error(err))
}

func (t *Transferrer) originChanged(file string) {
	t.log.Warn("Origin's file changed under its name.", zap.String("URL", file))
}

func (t *Transferrer) manifest(digest identifier.Digest) *verifier.Manifest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.manifests[digest]
}

func (t *Transferrer) askLease(e fetcher.AskOriginLease) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.LeaseTimeout)
	defer cancel()
	answer, err := t.lessor.Lease(ctx, e)
	if err != nil {
		t.warn("Origin lease can't be had.", err)
		answer = fetcher.OriginLeaseAnswered{Manifest: e.Manifest, Chunks: e.Chunks, Copy: e.Copy}
	}
	t.Send(t.ctx, answer)
}

// verifyFiles reads every file back from the store.
func (t *Transferrer) verifyFiles(m *verifier.Manifest) {
	weights, err := m.VerifyFiles(func(f verifier.File) (io.ReadCloser, error) { return t.store.Open(m, f) })
	if err != nil {
		t.Send(t.ctx, fetcher.FilesRefused{Manifest: m.Digest(), Problem: err.Error()})
		return
	}
	t.Send(t.ctx, fetcher.FilesVerified{Weights: weights})
}

// Chunk returns the bytes of a chunk that is stored, verified.
func (t *Transferrer) Chunk(digest identifier.Digest) ([]byte, error) {
	return t.store.Get(digest)
}
