package transferrer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"celeryvalve/connector"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

const (
	// maxCacheRequests is how many requests a Cache keeps at once.
	maxCacheRequests = 4096
	// cachedReleases is how many releases a Cache holds: the wanted one, and the one that
	// engines may still have to load again.
	cachedReleases = 2
)

// CacheConfig configures a Cache.
type CacheConfig struct {
	// UploadRate limits the rate at which chunks are sent. Zero is unlimited.
	UploadRate identifier.BytesPerSecond
	// Relays reports whether a peer passes chunks on to others. Such peers are served
	// first. It may be nil.
	Relays func(identifier.Upstream) bool
	// DelayInterval is the interval at which a peer that waits is told that the cache is
	// alive.
	DelayInterval time.Duration
}

// Cache holds the newest releases in memory and passes their chunks on, each as soon as
// it is there. Unlike a Transferrer it fetches nothing itself.
type Cache struct {
	cfg    CacheConfig
	clock  clockwork.Clock
	upload *uploadQueue
	sent   *metrics.Counter

	mu       sync.Mutex
	requests int
	releases []*cachedRelease // oldest first
}

// cachedRelease holds the chunks of one release that have arrived.
type cachedRelease struct {
	manifest identifier.Digest
	chunks   []cachedChunk
}

// cachedChunk is a chunk whose data is set once arrived is closed.
type cachedChunk struct {
	data    []byte
	arrived chan struct{}
}

// NewCache returns an empty Cache that counts what it sends in set.
func NewCache(cfg CacheConfig, clock clockwork.Clock, set *metrics.Set) *Cache {
	return &Cache{
		cfg:    cfg,
		clock:  clock,
		upload: newUploadQueue(newRateLimiter(cfg.UploadRate), cfg.Relays),
		sent:   set.NewCounter(`celeryvalve_weights_sent_bytes_total`),
	}
}

// Hold makes room for the chunks of a release, so that requests for them are kept. It
// drops the oldest release if there are too many.
func (c *Cache) Hold(manifest identifier.Digest, chunks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.find(manifest) != nil {
		return
	}
	r := &cachedRelease{manifest: manifest, chunks: make([]cachedChunk, chunks)}
	for i := range r.chunks {
		r.chunks[i].arrived = make(chan struct{})
	}
	c.releases = append(c.releases, r)
	if len(c.releases) > cachedReleases {
		c.releases = c.releases[1:]
	}
}

// Add takes in a verified chunk of a release that Hold was called for.
func (c *Cache) Add(manifest identifier.Digest, i verifier.ChunkIndex, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.find(manifest)
	if r == nil || r.chunks[i].data != nil {
		return
	}
	r.chunks[i].data = data
	close(r.chunks[i].arrived)
}

// find returns the release with the manifest, or nil. The caller holds c.mu.
func (c *Cache) find(manifest identifier.Digest) *cachedRelease {
	for _, r := range c.releases {
		if r.manifest == manifest {
			return r
		}
	}
	return nil
}

// Handle serves a stream of the connector. It is a connector.Handler.
func (c *Cache) Handle(ctx context.Context, s *connector.Stream, first any) {
	c.Serve(ctx, s, first)
}

// Serve answers one stream whose first message is a request for a chunk. It returns when
// the request is answered or cancelled.
func (c *Cache) Serve(ctx context.Context, s Stream, first any) {
	request, ok := first.(*fetcher.ChunkRequest)
	if !ok {
		s.Cancel()
		return
	}
	chunk, refusal := c.admit(request)
	if refusal != "" {
		_ = s.Send(&fetcher.ChunkAnswer{Refused: refusal})
		return
	}
	defer c.release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, _ = s.Receive(ctx) // returns when the peer cancels its request
		cancel()
	}()
	err := waitWithDelays(ctx, c.clock, c.cfg.DelayInterval, s, func(ctx context.Context) error {
		select {
		case <-chunk.arrived:
		case <-ctx.Done():
			return ctx.Err()
		}
		return c.upload.wait(ctx, request, len(c.dataOf(chunk)))
	})
	if err != nil {
		return
	}
	data := c.dataOf(chunk)
	if s.Send(&fetcher.ChunkAnswer{Data: data}) == nil {
		c.sent.Add(len(data))
	}
}

// admit returns the chunk that is requested, or why the request is refused. After a
// refusal release must not be called.
func (c *Cache) admit(request *fetcher.ChunkRequest) (*cachedChunk, fetcher.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.find(request.Manifest)
	switch {
	case r == nil:
		return nil, fetcher.UnknownManifest
	case request.Chunk < 0 || int(request.Chunk) >= len(r.chunks):
		return nil, fetcher.NotHeld
	case c.requests >= maxCacheRequests:
		return nil, fetcher.Busy
	}
	chunk := &r.chunks[request.Chunk]
	if chunk.data == nil && !request.Wait {
		return nil, fetcher.NotHeld
	}
	c.requests++
	return chunk, ""
}

func (c *Cache) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
}

func (c *Cache) dataOf(chunk *cachedChunk) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return chunk.data
}
