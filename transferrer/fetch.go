package transferrer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// fetchKey identifies a fetch in progress.
type fetchKey struct {
	manifest identifier.Digest
	chunk    verifier.ChunkIndex
	source   fetcher.Source
}

// readOrigin reads a chunk from Config.Origin, or by HTTP if that is nil.
func (t *Transferrer) readOrigin(ctx context.Context, e fetcher.FetchChunkFromOrigin, m *verifier.Manifest, l verifier.ChunkLocation) ([]byte, error) {
	if t.cfg.Origin == nil {
		return t.origin.chunk(ctx, e.Source, m, l)
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.OriginStallTimeout)
	defer cancel()
	return t.cfg.Origin.Chunk(ctx, e.Source, e.Chunk, l.Size)
}

// fetch runs get in the background, verifies and stores its result and sends the
// outcome to the reducer, unless the fetch is cancelled. A non-zero deadline limits
// get.
func (t *Transferrer) fetch(key fetchKey, deadline time.Time, get func(context.Context) ([]byte, error)) {
	ctx, cancel := t.fetchContext(deadline)
	t.mu.Lock()
	t.fetches[key] = cancel
	m := t.manifests[key.manifest]
	t.mu.Unlock()
	t.work.Go(func() {
		defer cancel()
		data, err := get(ctx)
		var chunk verifier.Chunk
		if err == nil {
			t.countReceived(key.source, len(data))
			chunk, err = verify(m, key.chunk, data)
		}
		if !t.endFetch(key) {
			return
		}
		if err == nil {
			err = t.storeChunk(chunk, data)
		}
		if err != nil {
			f := asFetchError(err)
			t.Send(t.ctx, fetcher.ChunkFailed{
				Manifest: key.manifest, Chunk: key.chunk, Source: key.source, Reason: f.reason, RetryAfter: f.retryAfter,
			})
			return
		}
		t.Send(t.ctx, fetcher.ChunkArrived{Manifest: key.manifest, Chunk: chunk, Source: key.source})
	})
}

// fetchContext returns a context that ends with Run, and at the deadline unless it
// is zero.
func (t *Transferrer) fetchContext(deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(t.ctx)
	}
	return clockwork.WithDeadline(t.ctx, t.clock, deadline)
}

// storeChunk stores a verified chunk. Its error is a fetchError with the reason
// NotStored.
func (t *Transferrer) storeChunk(chunk verifier.Chunk, data []byte) error {
	err := t.store.Put(chunk, data)
	if err != nil {
		t.warn("Chunk can't be stored.", err)
		return &fetchError{reason: fetcher.NotStored, cause: err}
	}
	return nil
}

func (t *Transferrer) countReceived(source fetcher.Source, n int) {
	if source.IsOrigin() {
		t.counters.fromOrigin.Add(n)
		return
	}
	t.counters.fromPeers.Add(n)
}

// endFetch removes a fetch and reports whether it was registered; a cancelled fetch
// is not.
func (t *Transferrer) endFetch(key fetchKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.fetches[key]
	delete(t.fetches, key)
	return ok
}

func (t *Transferrer) cancelFetch(key fetchKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, ok := t.fetches[key]; ok {
		cancel()
		delete(t.fetches, key)
	}
}
