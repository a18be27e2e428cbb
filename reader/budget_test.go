package reader_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/identifier"
	"celeryvalve/reader"
)

// Guards against draws that together hold more than their budget, that leave nothing for a small
// one, or that keep what they held.
func TestDrawsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, small = 1 << 20, 1 << 10
		budget := reader.NewBudget(limit)
		draws := make([]*reader.Draw, rapid.IntRange(1, 100).Draw(t, "draws"))
		for i := range draws {
			draws[i] = budget.Draw()
		}
		var noMemory *reader.NoMemoryError
		for range 300 {
			draw := rapid.SampledFrom(draws).Draw(t, "draw")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				draw.Shrink(rapid.IntRange(0, 2*small).Draw(t, "given"))
			default:
				if err := draw.Grow(rapid.IntRange(1, 8*small).Draw(t, "taken")); err != nil {
					require.ErrorAs(t, err, &noMemory)
				}
			}
			sum := identifier.ByteCount(0)
			for _, d := range draws {
				sum += d.Held()
			}
			require.Equal(t, sum, budget.Use().Used)
			require.Less(t, budget.Use().Peak, identifier.ByteCount(limit))
		}
		last := budget.Draw()
		require.NoError(t, last.Grow(small), "a small draw found no room")
		for _, d := range append(draws, last) {
			d.Close()
			require.Error(t, d.Grow(1), "a closed draw must not hold anything")
		}
		require.Zero(t, budget.Use().Used)
	})
}

// Guards against a sound large body that finds no room in an empty budget, and against one that
// takes much more than its size.
func TestBufferTakesWhatItReads(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 64 << 10, 16 << 20} {
		budget := reader.NewBudget(34 << 20)
		draw := budget.Draw()
		content := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		buffer, err := reader.ReadAll(bytes.NewReader(content), draw)
		require.NoError(t, err)
		require.EqualValues(t, size, buffer.Len())
		require.LessOrEqual(t, int(draw.Held()), 2*size+64<<10)
		for range 2 {
			var written bytes.Buffer
			_, err = buffer.WriteTo(&written)
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, written.Bytes()))
			read, err := io.ReadAll(buffer.Reader())
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, read))
		}
		draw.Close()
		draw = budget.Draw()
		data, err := reader.ReadBytes(bytes.NewReader(content[:min(size, 8<<20)]), draw)
		require.NoError(t, err)
		require.True(t, bytes.Equal(content[:len(data)], data))
		require.EqualValues(t, len(data), draw.Held())
	}
}

// Guards against a body that ended early and counts as whole.
func TestReadAllReturnsErrors(t *testing.T) {
	for _, want := range []error{io.ErrUnexpectedEOF, errors.New("broken")} {
		r := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(want))
		_, err := reader.ReadAll(r, reader.NewBudget(1<<20).Draw())
		require.ErrorIs(t, err, want)
	}
	var noMemory *reader.NoMemoryError
	_, err := reader.ReadAll(strings.NewReader(strings.Repeat("a", 1<<20)), reader.NewBudget(1<<20).Draw())
	require.ErrorAs(t, err, &noMemory)
}
