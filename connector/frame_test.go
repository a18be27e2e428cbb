package connector_test

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"celeryvalve/connector"
	"celeryvalve/encoder"
)

// Guards against a process that runs out of memory since a peer announces large frames on many
// streams and sends nothing of them.
func TestAnnouncedFramesTakeNoMemory(t *testing.T) {
	const streams, bound = 100, 64 << 20
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpoint(t, folder, "b", &versions{})
	for range streams {
		s, err := a.Open(t.Context(), b.Address(), &ping{})
		require.NoError(t, err)
		t.Cleanup(s.Cancel)
		_, err = s.Receive(t.Context())
		require.NoError(t, err)
		require.NoError(t, s.Announce(uint32(encoder.MaxFrameSize)))
	}
	_, before := b.Traffic()
	for range 10 {
		_, err := a.Call(t.Context(), b.Address(), &ping{})
		require.NoError(t, err)
	}
	_, after := b.Traffic()
	require.Greater(t, after, before, "frames still come")
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	require.Less(t, stats.HeapAlloc, uint64(bound))
}

// Guards against a frame that is changed or cut since it came in parts.
func TestFramesOfAllSizesAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 128 << 10, 3 << 20, 8 << 20} {
		content := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		frame, err := connector.ReadFrame(iotest.HalfReader(bytes.NewReader(append(content, "next"...))), size)
		require.NoError(t, err)
		require.True(t, bytes.Equal(content, frame))
		if size > 0 {
			_, err = connector.ReadFrame(bytes.NewReader(content[:size-1]), size)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}
