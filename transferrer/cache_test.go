package transferrer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/transferrer"
)

// cacheStream is one request to a cache: what the cache sends arrives in answers, and
// closing gone cancels the request.
type cacheStream struct {
	answers chan *fetcher.ChunkAnswer
	gone    chan struct{}
}

func newCacheStream() *cacheStream {
	return &cacheStream{answers: make(chan *fetcher.ChunkAnswer, 16), gone: make(chan struct{})}
}

func (s *cacheStream) Send(msg any) error {
	s.answers <- msg.(*fetcher.ChunkAnswer)
	return nil
}

func (s *cacheStream) Receive(ctx context.Context) (any, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.gone:
		return nil, io.EOF
	}
}

func (s *cacheStream) Cancel() {}

var cached = identifier.DigestOf([]byte("manifest"))

func newCache(clock clockwork.Clock) *transferrer.Cache {
	return transferrer.NewCache(transferrer.CacheConfig{DelayInterval: time.Second}, clock, metrics.NewSet())
}

func request(c *transferrer.Cache, r fetcher.ChunkRequest) (*cacheStream, <-chan struct{}) {
	s := newCacheStream()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Serve(context.Background(), s, &r)
	}()
	return s, done
}

func TestCacheAnswersOnceItHoldsTheChunk(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCache(clock)
	c.Hold(cached, 2)
	s, done := request(c, fetcher.ChunkRequest{Manifest: cached, Chunk: 1, Wait: true})
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.True(t, (<-s.answers).Delayed, "the instance learns that the cache is alive")
	c.Add(cached, 1, []byte("chunk"))
	require.Equal(t, []byte("chunk"), (<-s.answers).Data)
	<-done
}

func TestCacheRefusesWhatItCantAnswer(t *testing.T) {
	c := newCache(clockwork.NewFakeClock())
	c.Hold(cached, 2)
	other := identifier.DigestOf([]byte("other"))
	for name, tc := range map[string]struct {
		request fetcher.ChunkRequest
		want    fetcher.Reason
	}{
		"unknown release": {fetcher.ChunkRequest{Manifest: other, Wait: true}, fetcher.UnknownManifest},
		"below the range": {fetcher.ChunkRequest{Manifest: cached, Chunk: -1, Wait: true}, fetcher.NotHeld},
		"above the range": {fetcher.ChunkRequest{Manifest: cached, Chunk: 2, Wait: true}, fetcher.NotHeld},
		"probe":           {fetcher.ChunkRequest{Manifest: cached, Chunk: 1}, fetcher.NotHeld},
	} {
		t.Run(name, func(t *testing.T) {
			s, done := request(c, tc.request)
			<-done
			require.Equal(t, tc.want, (<-s.answers).Refused)
		})
	}
}

// A cache keeps the release before the wanted one, which an engine that lost its weights
// loads while the wanted one is incomplete, and no older one.
func TestCacheKeepsTwoReleases(t *testing.T) {
	c := newCache(clockwork.NewFakeClock())
	digests := []identifier.Digest{identifier.DigestOf([]byte("1")), identifier.DigestOf([]byte("2")), identifier.DigestOf([]byte("3"))}
	for _, d := range digests {
		c.Hold(d, 1)
		c.Add(d, 0, []byte("chunk"))
	}
	for i, d := range digests {
		s, done := request(c, fetcher.ChunkRequest{Manifest: d})
		<-done
		require.Equal(t, i == 0, (<-s.answers).Refused == fetcher.UnknownManifest)
	}
}

// An instance that gives up must not leave its request behind in the cache.
func TestCacheDropsACancelledRequest(t *testing.T) {
	c := newCache(clockwork.NewFakeClock())
	c.Hold(cached, 1)
	s, done := request(c, fetcher.ChunkRequest{Manifest: cached, Wait: true})
	close(s.gone)
	select {
	case <-done:
	case <-t.Context().Done():
		require.Fail(t, "the request is still served")
	}
}
