package imitator_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/imitator"
)

func TestCacheEventsTellStoredAndEvictedBlocks(t *testing.T) {
	b := newEngine(t) // its cache has four blocks
	b.mustPost(http.StatusOK, "/orders/load", imitator.Order{Model: "m", Version: "1"})
	resp, err := http.Get(b.url + "/events")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()

	prompt := strings.Repeat("a", 3*imitator.CacheBlockBytes)
	other := strings.Repeat("b", 2*imitator.CacheBlockBytes)
	b.mustPost(http.StatusOK, "/v1/completions", completion(prompt))
	b.mustPost(http.StatusOK, "/v1/completions", completion(other))

	lines := bufio.NewScanner(resp.Body)
	blocks := imitator.BlocksOf(imitator.Served{Model: "m", Version: "1"}, prompt)
	for want := uint64(1); want <= 6; want++ {
		require.True(t, lines.Scan())
		var event imitator.CacheEvent
		require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(lines.Text(), "data: ")), &event))
		require.Equal(t, want, event.Sequence)
		if want <= 3 {
			require.Equal(t, blocks[want-1], event.CacheBlock)
		}
		if want == 6 {
			require.Equal(t, imitator.Evicted, event.Action)
			require.Equal(t, blocks[0].Block, event.Block)
		}
		require.True(t, lines.Scan()) // the empty line after an event
	}
}
