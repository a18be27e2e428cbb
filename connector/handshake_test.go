package connector

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against handshakes that take the memory of a process since nothing bounds their number, and
// against ones that have ended and still count.
func TestHandshakesInProgressAreBounded(t *testing.T) {
	h := &handshakes{}
	ends := make([]context.CancelFunc, maxHandshakes)
	contexts := make([]context.Context, maxHandshakes)
	for i := range maxHandshakes {
		require.Equal(t, i >= validateAbove, h.validate(nil))
		ctx, cancel := context.WithCancel(t.Context())
		contexts[i], ends[i] = begin(t, h, ctx), cancel
	}
	_, err := h.begin(t.Context(), nil)
	require.ErrorIs(t, err, errTooManyHandshakes)

	h.end(contexts[0]) // the peer has shown its certificate
	ends[0]()          // and its connection is closed later
	begin(t, h, t.Context())
	_, err = h.begin(t.Context(), nil)
	require.ErrorIs(t, err, errTooManyHandshakes)
	for _, end := range ends[1:] {
		end()
	}
	require.Eventually(t, func() bool { return h.n.Load() == 1 }, time.Minute, time.Millisecond)
}

func begin(t *testing.T, h *handshakes, ctx context.Context) context.Context {
	ctx, err := h.begin(ctx, nil)
	require.NoError(t, err)
	return ctx
}
