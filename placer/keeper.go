package placer

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

const (
	// weightsFolder is beside the folder of the control replica.
	weightsFolder = "weights"
	// cacheLimit limits the size of the cache: a quarter of the smallest disk of the
	// platform, which has 64 MB.
	cacheLimit identifier.ByteCount = 16 << 20
	// maxCachedReleases is how many releases stay cached once the limit leaves no
	// room for more: the wanted one, and the one in force until that is loaded.
	maxCachedReleases = 2
	// cacheWriteInterval is the pause between two writes, so that the log of the
	// control replica can be written meanwhile. It is twice the time of a sync on a
	// slow disk.
	cacheWriteInterval = 10 * time.Millisecond
	// cacheReadTimeout is how long a mirror waits for its disk. A usual disk reads a
	// release within a tenth of that.
	cacheReadTimeout = 300 * time.Millisecond
)

// weightsCache keeps the releases of a mirror on its disk, so that the mirror has them
// immediately after a power failure, while the origin would need seconds. If the disk
// stalls or fails, only the cached copy is lost.
type weightsCache struct {
	folder string
	memory *transferrer.Store
	log    *zap.Logger
	clock  clockwork.Clock
	// ready is closed once the contents of the disk are known. Until then only load uses disk.
	ready chan struct{}
	disk  *transferrer.Store // nil if the disk can't be used

	mu     sync.Mutex
	cached []*verifier.Manifest // newest last
}

func newWeightsCache(folder string, memory *transferrer.Store, clock clockwork.Clock, log *zap.Logger) *weightsCache {
	return &weightsCache{
		folder: filepath.Join(folder, weightsFolder),
		memory: memory,
		clock:  clock,
		log:    log.Named("keeper"),
		ready:  make(chan struct{}),
	}
}

// load opens the disk and finds the chunks that it holds. It reads none of them: only those of
// the wanted releases are needed soon.
func (c *weightsCache) load() {
	defer close(c.ready)
	disk, err := transferrer.NewStore(transferrer.StoreConfig{Folder: c.folder, Limit: cacheLimit, Durable: true})
	if err != nil {
		c.log.Error("Can't use the weights cache on this disk.", zap.Error(err))
		return
	}
	c.disk = disk
	chunks, err := disk.Find()
	c.log.Info("Loaded the weights cache.", zap.Int("chunks", chunks), zap.Error(err))
}

// restore passes the cached chunks of the release to add. It gives up what the disk has not
// read within cacheReadTimeout.
func (c *weightsCache) restore(m *verifier.Manifest, add func(identifier.Digest, []byte) error) {
	timeout := c.clock.After(cacheReadTimeout)
	chunks := c.readChunks(m)
	restored := 0
	for {
		select {
		case chunk, ok := <-chunks:
			if !ok {
				c.log.Info("Took up a kept release.", zap.Stringer("manifest", m.Digest()), zap.Int("chunks", restored))
				return
			}
			if err := add(chunk.digest, chunk.data); err != nil {
				c.log.Warn("Can't use a cached chunk.", zap.Stringer("chunk", chunk.digest), zap.Error(err))
				continue
			}
			restored++
		case <-timeout:
			c.log.Warn("The weights cache took too long to load; fetching the rest of the release instead.", zap.Int("chunks", restored))
			return
		}
	}
}

// keptChunk is a verified chunk of the cache.
type keptChunk struct {
	digest identifier.Digest
	data   []byte
}

// readChunks reads the cached chunks of the release in the background. It closes the channel,
// which has room for all of them, after the last one.
func (c *weightsCache) readChunks(m *verifier.Manifest) <-chan keptChunk {
	digests := digestsOf(m)
	chunks := make(chan keptChunk, len(digests))
	go func() {
		defer close(chunks)
		<-c.ready
		if c.disk == nil {
			return
		}
		for _, digest := range digests {
			data, err := c.disk.Get(digest)
			if explainer.KindOf(err) == explainer.Corrupt {
				c.disk.Drop([]identifier.Digest{digest})
			}
			if err == nil { // otherwise the chunk is fetched from another source
				chunks <- keptChunk{digest: digest, data: data}
			}
		}
	}()
	return chunks
}

// save writes the chunks of a complete release. Older releases are deleted if the cache
// would exceed its limit.
func (c *weightsCache) save(ctx context.Context, m *verifier.Manifest) {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disk == nil {
		return
	}
	c.cached = append(c.cached, m)
	if len(c.cached) > maxCachedReleases {
		c.cached = c.cached[len(c.cached)-maxCachedReleases:]
	}
	if c.disk.Used()+m.Size() > cacheLimit {
		c.dropOldReleases()
	}
	err := c.writeChunks(ctx, m)
	c.log.Info("Kept a release.", zap.Stringer("manifest", m.Digest()), zap.Int64("bytes", int64(c.disk.Used())), zap.Error(err))
}

func (c *weightsCache) writeChunks(ctx context.Context, m *verifier.Manifest) error {
	for _, digest := range digestsOf(m) {
		data, err := c.memory.Get(digest)
		if err != nil {
			return err
		}
		chunk, err := verifier.VerifyBytes(digest, data)
		if err != nil {
			return err
		}
		if err := c.disk.Put(chunk, data); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(cacheWriteInterval):
		}
	}
	return nil
}

// dropOldReleases deletes the chunks of all releases that are not in cached.
func (c *weightsCache) dropOldReleases() {
	var wanted []identifier.Digest
	for _, m := range c.cached {
		wanted = append(wanted, digestsOf(m)...)
	}
	old := slices.DeleteFunc(c.disk.Digests(), func(d identifier.Digest) bool { return slices.Contains(wanted, d) })
	c.disk.Drop(old)
}

func digestsOf(m *verifier.Manifest) []identifier.Digest {
	var digests []identifier.Digest
	for i := range m.ChunkCount() {
		if l, ok := m.Chunk(verifier.ChunkIndex(i)); ok {
			digests = append(digests, l.Digest)
		}
	}
	return digests
}
