package transferrer

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
)

// Guards against a transferrer that stops for good because one peer has left, or does not
// read, while several delays and the final reply to it are due.
func TestRepliesDoNotWaitForThePeer(t *testing.T) {
	tr := New(Config{}, clockwork.NewRealClock(), nil, nil, nil, metrics.NewSet(), zap.NewNop(), asserter.Strict{})
	id, answer := tr.register(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 {
			tr.execute(fetcher.ReportChunkDelay{Request: id})
		}
		tr.execute(fetcher.RefuseChunk{Request: id, Reason: fetcher.NotHeld})
		tr.execute(fetcher.ReportChunkDelay{Request: id})
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		require.FailNow(t, "a reply waits for the peer")
	}
	require.Equal(t, reply{delayed: true}, <-answer)
	require.Equal(t, reply{refused: fetcher.NotHeld}, <-answer)
	require.Empty(t, answer)
}
