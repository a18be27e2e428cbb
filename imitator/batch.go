package imitator

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Load is how busy an engine is, as it reports it.
type Load struct {
	Running int
	Waiting int
	Age     Duration
}

// batch is a stand-in for continuous batching: a bounded number of requests run
// together, the others wait by priority and then by arrival.
type batch struct {
	mu      sync.Mutex
	clock   clockwork.Clock
	size    int
	running int
	waiting waitHeap
	arrived uint64
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int
}

func newBatch(size int, lag time.Duration, clock clockwork.Clock) *batch {
	return &batch{size: size, lag: lag, clock: clock}
}

// enter waits for a place. Each nil error must be followed by one leave.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.size {
		b.running++
		b.sample()
		b.mu.Unlock()
		return nil
	}
	b.arrived++
	item := &waiter{priority: priority, arrival: b.arrived, admitted: make(chan struct{})}
	heap.Push(&b.waiting, item)
	b.sample()
	b.mu.Unlock()
	select {
	case <-item.admitted:
		return nil
	case <-ctx.Done():
		b.abandon(item)
		return ctx.Err()
	}
}

// abandon takes the waiter out, or gives back the place that it got meanwhile.
func (b *batch) abandon(item *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if item.index < 0 {
		b.release()
		return
	}
	heap.Remove(&b.waiting, item.index)
	b.sample()
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

func (b *batch) release() {
	b.running--
	if b.waiting.Len() > 0 {
		next := heap.Pop(&b.waiting).(*waiter)
		b.running++
		close(next.admitted)
	}
	b.sample()
}

func (b *batch) others() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running - 1
}

// sample notes the load after a change and forgets what the lag has outrun.
func (b *batch) sample() {
	now := b.clock.Now()
	b.samples = append(b.samples, loadSample{at: now, load: Load{Running: b.running, Waiting: b.waiting.Len()}})
	for len(b.samples) > 1 && !b.samples[1].at.After(now.Add(-b.lag)) {
		b.samples = b.samples[1:]
	}
}

// report returns the load as it was one lag ago.
func (b *batch) report() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := b.clock.Now().Add(-b.lag)
	load := Load{}
	for _, s := range b.samples {
		if s.at.After(seen) {
			break
		}
		load = s.load
	}
	load.Age = Duration(b.lag)
	return load
}

// waitHeap orders waiters by priority, highest first, then by arrival.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waitHeap) Push(x any) {
	item := x.(*waiter)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *waitHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	item.index = -1
	return item
}
