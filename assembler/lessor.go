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

// originLessor asks control for the right to read from the origin.
type originLessor struct {
	upstream    identifier.Upstream
	incarnation identifier.Incarnation
	submitter   *submitter.Submitter
	clock       clockwork.Clock

	mu   sync.Mutex
	last uint64
	// unanswered keeps the numbers of requests whose answers were lost: control
	// may have granted them, and knows a resend by its number.
	unanswered map[fetcher.AskOriginLease]uint64
}

func newOriginLessor(parts agentParts) *originLessor {
	return &originLessor{
		upstream:    parts.Settings.Agent.Upstream,
		incarnation: parts.Incarnation,
		submitter:   parts.Submitter,
		clock:       parts.Clock,
		unanswered:  make(map[fetcher.AskOriginLease]uint64),
	}
}

// number returns the number of the request: that of an earlier one that was not
// answered, or a new one.
func (l *originLessor) number(ask fetcher.AskOriginLease) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id, ok := l.unanswered[ask]; ok {
		return id
	}
	l.last++
	l.unanswered[ask] = l.last
	return l.last
}

func (l *originLessor) answered(ask fetcher.AskOriginLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unanswered, ask)
}

// Lease asks for chunks of one copy.
func (l *originLessor) Lease(ctx context.Context, ask fetcher.AskOriginLease) (fetcher.OriginLeaseAnswered, error) {
	sent := l.clock.Now()
	answered := fetcher.OriginLeaseAnswered{Manifest: ask.Manifest, Chunks: ask.Chunks, Copy: ask.Copy}
	answer, err := submit[*controller.OriginAnswer](ctx, l.submitter, &controller.LeaseOrigin{
		Upstream:    l.upstream,
		Incarnation: l.incarnation,
		ID:          l.number(ask),
		Manifest:    ask.Manifest,
		Chunks:      controller.Chunks{First: int(ask.Chunks.First), Count: ask.Chunks.Count},
		Copy:        ask.Copy,
		Size:        ask.Size,
		TotalSize:   ask.TotalSize,
		Again:       ask.Again,
	})
	if err != nil {
		return answered, err
	}
	l.answered(ask)
	answered.Granted = answer.Status == controller.OriginGranted
	answered.Held = answer.Status == controller.OriginHeld
	answered.Holder = answer.Holder
	answered.RetryAfter = answer.RetryAfter
	answered.Expires = sent.Add(answer.LeaseDuration)
	return answered, nil
}
