package assembler

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"celeryvalve/controller"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/submitter"
)

// originLeaseClient asks the control plane for leases to read chunks from the origin.
type originLeaseClient struct {
	upstream    identifier.Upstream
	incarnation identifier.Incarnation
	submitter   *submitter.Submitter
	clock       clockwork.Clock

	mu     sync.Mutex
	lastID uint64
	// unanswered holds the ids of requests that have no answer yet or whose answer was
	// lost. The control plane may have granted a lost one and recognises it by its id
	// when it is sent again.
	unanswered map[fetcher.RequestOriginLease]uint64
}

func newOriginLeaseClient(parts agentParts) *originLeaseClient {
	return &originLeaseClient{
		upstream:    parts.Settings.Agent.Upstream,
		incarnation: parts.Incarnation,
		submitter:   parts.Submitter,
		clock:       parts.Clock,
		unanswered:  make(map[fetcher.RequestOriginLease]uint64),
	}
}

// requestID returns the id of an equal earlier request without an answer, or a new id.
func (l *originLeaseClient) requestID(ask fetcher.RequestOriginLease) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id, ok := l.unanswered[ask]; ok {
		return id
	}
	l.lastID++
	l.unanswered[ask] = l.lastID
	return l.lastID
}

func (l *originLeaseClient) markAnswered(ask fetcher.RequestOriginLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unanswered, ask)
}

// Lease asks for the right to read chunks of one copy of a manifest from the origin. The
// lease duration counts from when the request was sent.
func (l *originLeaseClient) Lease(ctx context.Context, ask fetcher.RequestOriginLease) (fetcher.OriginLeaseAnswered, error) {
	sent := l.clock.Now()
	answered := fetcher.OriginLeaseAnswered{Manifest: ask.Manifest, Chunks: ask.Chunks, Copy: ask.Copy}
	answer, err := submit[*controller.OriginAnswer](ctx, l.submitter, &controller.LeaseOrigin{
		Upstream:    l.upstream,
		Incarnation: l.incarnation,
		ID:          l.requestID(ask),
		Manifest:    ask.Manifest,
		Chunks:      controller.Chunks{First: int(ask.Chunks.First), Count: ask.Chunks.Count},
		Copy:        ask.Copy,
		Size:        ask.Size,
		TotalSize:   ask.TotalSize,
		Again:       ask.Regrant,
	})
	if err != nil {
		return answered, err
	}
	l.markAnswered(ask)
	answered.Granted = answer.Status == controller.OriginGranted
	answered.Held = answer.Status == controller.OriginHeld
	answered.Holder = answer.Holder
	answered.RetryAfter = answer.RetryAfter
	answered.Expires = sent.Add(answer.LeaseDuration)
	return answered, nil
}
