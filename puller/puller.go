package puller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

const (
	// window is how many chunks are requested at once, so that a link of 8 Mbit/s stays
	// busy while some chunks are not at the mirror yet.
	window = 8
	// chunkTimeout limits the wait for one chunk. A mirror that waits for the origin
	// itself needs up to the time that the origin takes to send a copy.
	chunkTimeout = 2500 * time.Millisecond
	// idlePollInterval is the pause while there is no chunk to request.
	idlePollInterval = 100 * time.Millisecond
)

// Source delivers single chunks of a release, not yet verified.
type Source interface {
	Chunk(ctx context.Context, p declarer.Pinned, i int) ([]byte, error)
	String() string
}

// Puller fetches releases, one at a time.
type Puller struct {
	clock clockwork.Clock
	log   *zap.Logger
	held  atomic.Int64
}

// New returns a Puller that takes the time from clock.
func New(clock clockwork.Clock, log *zap.Logger) *Puller {
	return &Puller{clock: clock, log: log.Named("puller")}
}

// Held returns how many chunks of the current release have arrived.
func (p *Puller) Held() int {
	return int(p.held.Load())
}

// Pull fetches every chunk of the release and returns them by digest, once all are
// verified. The best source comes first, the origin last. It returns without some of
// them only when ctx ends, with the error of ctx.
func (p *Puller) Pull(ctx context.Context, release declarer.Pinned, sources []Source) (map[identifier.Digest][]byte, error) {
	t := &transfer{
		puller:  p,
		release: release,
		sources: sources,
		plan:    NewPlan(p.clock.Now(), len(release.Digests), len(sources)),
		chunks:  make(map[identifier.Digest][]byte, len(release.Digests)),
	}
	p.held.Store(0)
	var workers sync.WaitGroup
	for range window {
		workers.Go(func() { t.runWorker(ctx) })
	}
	workers.Wait()
	return t.chunks, ctx.Err()
}

// transfer is the state of one call of Pull.
type transfer struct {
	puller  *Puller
	release declarer.Pinned
	sources []Source

	mu     sync.Mutex
	plan   *Plan
	chunks map[identifier.Digest][]byte
}

func (t *transfer) runWorker(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		if t.plan.Done() {
			t.mu.Unlock()
			return
		}
		chunk, source, ok := t.plan.Next(t.puller.clock.Now())
		t.mu.Unlock()
		if !ok {
			select {
			case <-ctx.Done():
			case <-t.puller.clock.After(idlePollInterval):
			}
			continue
		}
		t.fetchChunk(ctx, chunk, source)
	}
}

func (t *transfer) fetchChunk(ctx context.Context, chunk, source int) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	data, err := t.sources[source].Chunk(ctx, t.release, chunk)
	if err == nil {
		_, err = verifier.VerifyBytes(t.release.Digests[chunk], data)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.plan.Failed(t.puller.clock.Now(), chunk, source)
		t.puller.log.Info("A chunk did not come.", zap.Stringer("source", t.sources[source]), zap.Int("chunk", chunk), zap.Error(err))
		return
	}
	t.chunks[t.release.Digests[chunk]] = data
	t.plan.Arrived(t.puller.clock.Now(), chunk, source)
	t.puller.held.Store(int64(t.plan.Held()))
}
