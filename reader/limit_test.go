package reader_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/reader"
)

// deadlines counts the read deadlines that are set.
type deadlines struct {
	http.ResponseWriter
	n int
}

// SetReadDeadline counts a deadline.
func (d *deadlines) SetReadDeadline(time.Time) error {
	d.n++
	return nil
}

// Guards against a request that was passed on and gets no answer, since the limit on its body
// expires once that has been read.
func TestLimitDoesNotExpireAfterTheEnd(t *testing.T) {
	w := &deadlines{ResponseWriter: httptest.NewRecorder()}
	limit := reader.NewLimit(w)
	require.False(t, limit.End())
	limit.Expire()
	require.Zero(t, w.n)

	limit = reader.NewLimit(w)
	limit.Expire()
	require.Equal(t, 1, w.n)
	require.True(t, limit.End(), "a body that came too late must not be passed on")
}
