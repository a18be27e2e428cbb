package transferrer

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
)

// silentStream takes all messages.
type silentStream struct{}

func (silentStream) Send(any) error                           { return nil }
func (silentStream) Receive(ctx context.Context) (any, error) { <-ctx.Done(); return nil, ctx.Err() }
func (silentStream) Cancel()                                  {}

// Load pattern: 41 instances and 7 caches of a region pull from the mirror that passes chunks
// on to other regions. Mirrors that had to share its link with them held a release up to 7 s
// after the origin had sent it.
func TestMembersDoNotWaitForOtherPeers(t *testing.T) {
	store, err := NewStore(StoreConfig{Limit: 1 << 20})
	require.NoError(t, err)
	cfg := Config{Fetcher: fetcher.DefaultConfig(), MembersFirst: true}
	cfg.Fetcher.UploadRate = 1
	tr := New(cfg, clockwork.NewRealClock(), store, nil, nil, metrics.NewSet(), zap.NewNop(), asserter.Strict{})
	tr.handle(fetcher.PeersChanged{Peers: []fetcher.Peer{{Upstream: "mirror", Region: "south"}}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, tr.waitToSend(ctx, silentStream{}, &fetcher.ChunkRequest{Upstream: "instance"}, 1<<20), "the limit holds for an instance")
	require.NoError(t, tr.waitToSend(t.Context(), silentStream{}, &fetcher.ChunkRequest{Upstream: "mirror"}, 1<<20))
}
