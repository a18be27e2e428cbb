package transferrer

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
)

// Load pattern: peers of each sort wait for a link at once. Those that pass chunks on go
// first, then idle engines one after another, then those that serve in order of arrival. A
// request that is cancelled holds up none.
func TestUploadsGoInTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newUploadQueue(newRateLimiter(0), func(p identifier.Upstream) bool { return p == "cache" })
		first, second := &fetcher.ChunkRequest{Upstream: "idle-a", Idle: true}, &fetcher.ChunkRequest{Upstream: "idle-b", Idle: true}
		if second.Turn() < first.Turn() {
			first, second = second, first
		}
		require.NoError(t, q.enter(t.Context(), fetcher.RelayTurn))
		var order []identifier.Upstream
		ask := func(ctx context.Context, r *fetcher.ChunkRequest) {
			go func() {
				if q.wait(ctx, r, 1) == nil {
					order = append(order, r.Upstream)
				}
			}()
			synctest.Wait()
		}
		cancelled, cancel := context.WithCancel(t.Context())
		ask(cancelled, &fetcher.ChunkRequest{Upstream: "cancelled", Idle: true})
		for _, r := range []*fetcher.ChunkRequest{{Upstream: "serving-b"}, second, first, {Upstream: "serving-a"}, first, {Upstream: "cache"}} {
			ask(t.Context(), r)
		}
		cancel()
		synctest.Wait()
		q.leave()
		synctest.Wait()
		require.Equal(t, []identifier.Upstream{"cache", first.Upstream, first.Upstream, second.Upstream, "serving-b", "serving-a"}, order)
		require.NoError(t, q.wait(t.Context(), first, 1), "the link is free again")
	})
}
