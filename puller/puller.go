package puller

import (
	"context"
	"errors"
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
	// busy while some chunks are not at their sources yet.
	window = 8
	// probeWindow is how many probes are in progress at once.
	probeWindow = 2
	// stallTimeout is how long a source may neither deliver a chunk nor show that it is
	// alive. A link of 1 Mbit/s carries as many chunks of 32 KiB as are requested at once
	// in that time.
	stallTimeout = 2500 * time.Millisecond
	// idlePollInterval is the pause while there is no chunk to request.
	idlePollInterval = 100 * time.Millisecond
)

// ErrNotHeld is returned by a Source that was probed and does not hold the chunk.
var ErrNotHeld = errors.New("the source does not hold the chunk")

// Source delivers single chunks of a release, not yet verified.
type Source interface {
	// Candidate describes the source. Its name must not change.
	Candidate() Candidate
	// Chunk delivers a chunk. With wait it waits until the source holds it, and calls
	// alive whenever the source shows that it is alive; otherwise it returns ErrNotHeld
	// if the source lacks it.
	Chunk(ctx context.Context, p declarer.Pinned, i int, wait bool, alive func()) ([]byte, error)
}

// Task is what Pull fetches, and from where.
type Task struct {
	Release declarer.Pinned
	// Sources returns the sources that are known now.
	Sources func() []Source
	// Arrived is called with each verified chunk. It may be nil.
	Arrived func(chunk int, data []byte)
}

// Puller fetches releases, one at a time.
type Puller struct {
	cfg   Config
	clock clockwork.Clock
	log   *zap.Logger
	held  atomic.Int64
}

// New returns a Puller that takes the time from clock.
func New(cfg Config, clock clockwork.Clock, log *zap.Logger) *Puller {
	return &Puller{cfg: cfg, clock: clock, log: log.Named("puller")}
}

// Held returns how many chunks of the current release have arrived.
func (p *Puller) Held() int {
	return int(p.held.Load())
}

// Pull fetches every chunk of the release and returns them by digest, once all are
// verified. It returns without some of them only when ctx ends, with the error of ctx.
func (p *Puller) Pull(ctx context.Context, task Task) (map[identifier.Digest][]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &transfer{
		puller:  p,
		task:    task,
		plan:    NewPlan(p.clock.Now(), p.cfg, len(task.Release.Digests)),
		chunks:  make(map[identifier.Digest][]byte, len(task.Release.Digests)),
		cancels: make(map[Request]context.CancelFunc),
		done:    cancel,
	}
	p.held.Store(0)
	var workers sync.WaitGroup
	for range window {
		workers.Go(func() { t.runWorker(ctx, (*Plan).Next) })
	}
	for range probeWindow {
		workers.Go(func() { t.runWorker(ctx, (*Plan).NextProbe) })
	}
	workers.Wait()
	if t.plan.Done() {
		return t.chunks, nil
	}
	return t.chunks, ctx.Err()
}

// transfer is the state of one call of Pull.
type transfer struct {
	puller *Puller
	task   Task
	// done ends the workers.
	done context.CancelFunc

	mu     sync.Mutex
	plan   *Plan
	chunks map[identifier.Digest][]byte
	// cancels holds the requests in progress.
	cancels map[Request]context.CancelFunc
}

// runWorker carries out the requests that next returns, one after another.
func (t *transfer) runWorker(ctx context.Context, next func(*Plan, time.Time) (Request, bool)) {
	for ctx.Err() == nil {
		request, source, done := t.nextRequest(next)
		switch {
		case done:
			t.done()
			return
		case source == nil:
			select {
			case <-ctx.Done():
			case <-t.puller.clock.After(idlePollInterval):
			}
		default:
			t.fetchChunk(ctx, request, source)
		}
	}
}

// nextRequest returns the next request and its source, or no source if there is nothing
// to request now. It reports whether every chunk is held.
func (t *transfer) nextRequest(next func(*Plan, time.Time) (Request, bool)) (Request, Source, bool) {
	sources := t.task.Sources()
	candidates := make([]Candidate, len(sources))
	for i, s := range sources {
		candidates[i] = s.Candidate()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan.Done() {
		return Request{}, nil, true
	}
	t.plan.SetSources(candidates)
	request, ok := next(t.plan, t.puller.clock.Now())
	if !ok {
		return Request{}, nil, false
	}
	for i, c := range candidates {
		if c.Name == request.Source {
			return request, sources[i], false
		}
	}
	return Request{}, nil, false
}

func (t *transfer) fetchChunk(ctx context.Context, request Request, source Source) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := t.puller.clock.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	if !t.register(request, cancel) {
		return
	}
	digest := t.task.Release.Digests[request.Chunk]
	data, err := source.Chunk(ctx, t.task.Release, request.Chunk, request.Wait, func() {
		stall.Reset(stallTimeout)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.plan.Alive(t.puller.clock.Now(), request.Source)
	})
	if err == nil {
		_, err = verifier.VerifyBytes(digest, data)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, request)
	now := t.puller.clock.Now()
	switch {
	case t.plan.held[request.Chunk]: // another source was faster
	case err == nil:
		t.plan.Arrived(now, request)
		t.add(request.Chunk, data)
		t.cancelOthers(request.Chunk)
	case errors.Is(err, ErrNotHeld):
		t.plan.NotHeld(now, request)
	default:
		t.plan.Failed(now, request)
		t.puller.log.Info("A chunk did not come.", zap.String("source", string(request.Source)), zap.Int("chunk", request.Chunk),
			zap.Bool("probe", !request.Wait), zap.Error(err))
	}
}

// register notes that the request is in progress. It reports false if the chunk has
// arrived meanwhile.
func (t *transfer) register(r Request, cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan.held[r.Chunk] {
		return false
	}
	t.cancels[r] = cancel
	return true
}

// add takes in a verified chunk. The caller holds t.mu.
func (t *transfer) add(chunk int, data []byte) {
	t.chunks[t.task.Release.Digests[chunk]] = data
	t.plan.Have(chunk)
	t.puller.held.Store(int64(t.plan.Held()))
	if t.task.Arrived != nil {
		t.task.Arrived(chunk, data)
	}
}

// cancelOthers ends the other requests for a chunk that has arrived. The caller holds
// t.mu.
func (t *transfer) cancelOthers(chunk int) {
	for r, cancel := range t.cancels {
		if r.Chunk == chunk {
			cancel()
		}
	}
}
