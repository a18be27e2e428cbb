package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFirstStartNeedsEveryFounder(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.nodes[0].boot()
	w.nodes[1].boot()
	w.advance(10 * time.Second)
	require.Nil(t, w.leader())
	w.nodes[2].boot()
	w.converge()
}

// TestStaleHelloDoesNotFound: announcements that were under way when the first
// founder lost its disk don't let its new disk found a second cluster.
func TestStaleHelloDoesNotFound(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(t, seed, 3)
		w.maxDelay = 400 * time.Millisecond
		for _, n := range w.nodes {
			n.boot()
		}
		w.advanceUntil("a follower has synced entries", func() bool { return len(w.nodes[1].durable.Entries) > 0 })
		founder := w.nodes[0]
		founder.loseDisk()
		w.nodes[1].crash()
		founder.boot()
		w.advance(time.Second)
		require.Zero(t, founder.reducer.Status().Last, "seed %d", seed)
	}
}
