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

// Guards against reservations that together hold more than their budget, that leave nothing for a small
// one, or that keep what they held.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, small = 1 << 20, 1 << 10
		budget := reader.NewBudget(limit)
		reservations := make([]*reader.Reservation, rapid.IntRange(1, 100).Draw(t, "draws"))
		for i := range reservations {
			reservations[i] = budget.Reserve()
		}
		var noMemory *reader.NoMemoryError
		for range 300 {
			reservation := rapid.SampledFrom(reservations).Draw(t, "draw")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				reservation.Shrink(rapid.IntRange(0, 2*small).Draw(t, "given"))
			default:
				if err := reservation.Grow(rapid.IntRange(1, 8*small).Draw(t, "taken")); err != nil {
					require.ErrorAs(t, err, &noMemory)
				}
			}
			sum := identifier.ByteCount(0)
			for _, d := range reservations {
				sum += d.Held()
			}
			require.Equal(t, sum, budget.Use().Used)
			require.Less(t, budget.Use().Peak, identifier.ByteCount(limit))
		}
		last := budget.Reserve()
		require.NoError(t, last.Grow(small), "a small reservation found no room")
		for _, d := range append(reservations, last) {
			d.Close()
			require.Error(t, d.Grow(1), "a closed reservation must not hold anything")
		}
		require.Zero(t, budget.Use().Used)
	})
}

// Guards against a sound large body that finds no room in an empty budget, and against one that
// takes much more than its size.
func TestBufferTakesWhatItReads(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 64 << 10, 16 << 20} {
		budget := reader.NewBudget(34 << 20)
		reservation := budget.Reserve()
		content := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		buffer, err := reader.ReadAll(bytes.NewReader(content), reservation)
		require.NoError(t, err)
		require.EqualValues(t, size, buffer.Len())
		require.LessOrEqual(t, int(reservation.Held()), 2*size+64<<10)
		for range 2 {
			var written bytes.Buffer
			_, err = buffer.WriteTo(&written)
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, written.Bytes()))
			read, err := io.ReadAll(buffer.Reader())
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, read))
		}
		reservation.Close()
		reservation = budget.Reserve()
		data, err := reader.ReadBytes(bytes.NewReader(content[:min(size, 8<<20)]), reservation)
		require.NoError(t, err)
		require.True(t, bytes.Equal(content[:len(data)], data))
		require.EqualValues(t, len(data), reservation.Held())
	}
}

// Guards against a body that ended early and counts as whole.
func TestReadAllReturnsErrors(t *testing.T) {
	for _, want := range []error{io.ErrUnexpectedEOF, errors.New("broken")} {
		r := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(want))
		_, err := reader.ReadAll(r, reader.NewBudget(1<<20).Reserve())
		require.ErrorIs(t, err, want)
	}
	var noMemory *reader.NoMemoryError
	_, err := reader.ReadAll(strings.NewReader(strings.Repeat("a", 1<<20)), reader.NewBudget(1<<20).Reserve())
	require.ErrorAs(t, err, &noMemory)
}
