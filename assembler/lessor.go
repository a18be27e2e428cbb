package assembler

import (
	"context"
	"sync/atomic"

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
	// requests numbers the requests of this incarnation, so that control knows a
	// resent one.
	requests *atomic.Uint64
}

// Lease asks for chunks of one copy.
func (l originLessor) Lease(ctx context.Context, ask fetcher.AskOriginLease) (fetcher.OriginLeaseAnswered, error) {
	sent := l.clock.Now()
	answered := fetcher.OriginLeaseAnswered{Manifest: ask.Manifest, Chunks: ask.Chunks, Copy: ask.Copy}
	answer, err := submit[*controller.OriginAnswer](ctx, l.submitter, &controller.LeaseOrigin{
		Upstream:    l.upstream,
		Incarnation: l.incarnation,
		ID:          l.requests.Add(1),
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
	answered.Granted = answer.Status == controller.OriginGranted
	answered.Held = answer.Status == controller.OriginHeld
	answered.Holder = answer.Holder
	answered.RetryAfter = answer.RetryAfter
	answered.Expires = sent.Add(answer.LeaseDuration)
	return answered, nil
}
