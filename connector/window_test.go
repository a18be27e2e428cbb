package connector_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hangTimeout ends a test whose answer does not come. No passing test waits for it.
const hangTimeout = 10 * time.Second

// Guards against streams whose receivers don't read, as for callers that take their answers slowly,
// and that keep the answers on all other streams of the connection back.
func TestUnreadStreamsKeepNoOtherBack(t *testing.T) {
	const unread = 3
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpoint(t, folder, "b", &versions{})
	for range unread {
		s, err := a.Open(t.Context(), b.Address(), &ping{})
		require.NoError(t, err)
		t.Cleanup(s.Cancel)
		go func() {
			for s.Send(&ping{}) == nil { // b answers each
			}
		}()
	}
	last, _ := b.Traffic()
	require.Eventually(t, func() bool {
		sent, _ := b.Traffic()
		full := sent > 0 && sent == last
		last = sent
		return full
	}, time.Minute, 500*time.Millisecond, "b can send no more")
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	_, err := a.Call(ctx, b.Address(), &ping{})
	require.NoError(t, err, "the answer does not come")
}
