package placer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/explainer"
	"celeryvalve/platform"
)

// Guards against an origin that is read as fast as it answers, since each copy of a manifest
// differs from the one before.
func TestManifestThatNeverAgreesIsReadAFewTimes(t *testing.T) {
	for _, damaged := range []int64{0, 1, 2, 5, 1000} {
		var reads atomic.Int64
		origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := reads.Add(1)
			digest := strings.Repeat("0", 64)
			if n <= damaged {
				digest = fmt.Sprintf("%064x", n)
			}
			_, _ = fmt.Fprintf(w, `{"model":"m","version":3,"chunk_bytes":8,"digests":[%q]}`, digest)
		}))
		defer origin.Close()
		pinned, err := readManifest(t.Context(), platform.NewOrigin(origin.Listener.Addr().String(), 4), "m", 3)
		require.LessOrEqual(t, reads.Load(), int64(maxManifestReads))
		if damaged < maxManifestReads-1 {
			require.NoError(t, err)
			require.Equal(t, strings.Repeat("0", 64), pinned.Digests[0].String())
			continue
		}
		require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
	}
}
