package transferrer

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
)

// uploadQueue lets uploads pass a rate limiter one at a time, those with the lowest turn
// first. While the link keeps up, nothing waits and the turns have no effect.
type uploadQueue struct {
	limiter *rateLimiter
	// relays reports whether a peer passes chunks on. It may be nil.
	relays func(identifier.Upstream) bool

	mu      sync.Mutex
	busy    bool
	waiting []*queuedUpload // in the order of their arrival
}

type queuedUpload struct {
	turn fetcher.Turn
	// admitted is closed once it is this upload's turn.
	admitted chan struct{}
}

func newUploadQueue(limiter *rateLimiter, relays func(identifier.Upstream) bool) *uploadQueue {
	return &uploadQueue{limiter: limiter, relays: relays}
}

// wait blocks until n bytes of the request may be sent. It returns an error if ctx ends
// first.
func (q *uploadQueue) wait(ctx context.Context, request *fetcher.ChunkRequest, n int) error {
	if err := q.enter(ctx, q.turnOf(request)); err != nil {
		return err
	}
	defer q.leave()
	return q.limiter.wait(ctx, n)
}

func (q *uploadQueue) turnOf(request *fetcher.ChunkRequest) fetcher.Turn {
	if q.relays != nil && q.relays(request.Upstream) {
		return fetcher.RelayTurn
	}
	return request.Turn()
}

// enter blocks until it is the caller's turn, who then has to call leave.
func (q *uploadQueue) enter(ctx context.Context, turn fetcher.Turn) error {
	q.mu.Lock()
	if !q.busy {
		q.busy = true
		q.mu.Unlock()
		return nil
	}
	u := &queuedUpload{turn: turn, admitted: make(chan struct{})}
	q.waiting = append(q.waiting, u)
	q.mu.Unlock()
	select {
	case <-u.admitted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	i := slices.Index(q.waiting, u)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.mu.Unlock()
	if i < 0 { // admitted at the same moment
		q.leave()
	}
	return ctx.Err()
}

// leave lets the upload with the lowest turn pass.
func (q *uploadQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	next := slices.MinFunc(q.waiting, func(a, b *queuedUpload) int { return cmp.Compare(a.turn, b.turn) })
	i := slices.Index(q.waiting, next)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	close(next.admitted)
}
