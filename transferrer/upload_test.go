package transferrer

import (
	"context"
	"strings"
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
		require.NoError(t, q.enter(t.Context(), fetcher.RelayTurn))
		var order []string
		gone, leave := context.WithCancel(t.Context())
		for _, name := range []string{"serving-b", "idle-a", "idle-b", "idle-gone", "serving-a", "idle-a", "cache"} {
			ctx := t.Context()
			if name == "idle-gone" {
				ctx = gone
			}
			request := &fetcher.ChunkRequest{Upstream: identifier.Upstream(name), Idle: strings.HasPrefix(name, "idle")}
			go func() {
				if q.enter(ctx, q.turnOf(request)) == nil {
					order = append(order, name)
					q.leave()
				}
			}()
			synctest.Wait()
		}
		leave()
		synctest.Wait()
		q.leave()
		synctest.Wait()
		require.Contains(t, []string{"cache idle-a idle-a idle-b serving-b serving-a", "cache idle-b idle-a idle-a serving-b serving-a"}, strings.Join(order, " "))
		require.NoError(t, q.wait(t.Context(), &fetcher.ChunkRequest{}, 1), "the link is free again")
	})
}
