package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFirstStartNeedsEveryFounder(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.nodes[0].boot()
	sim.nodes[1].boot()
	sim.advance(10 * time.Second)
	require.Nil(t, sim.leader())
	sim.nodes[2].boot()
	sim.converge()
}

// TestStaleHelloDoesNotFound: a delayed Hello must not let a founder that lost its
// disk bootstrap a second cluster. The other founders sent it while they were still
// empty, and it arrives after the loss.
func TestStaleHelloDoesNotFound(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(t, seed, 3)
		sim.maxDelay = 400 * time.Millisecond
		for _, n := range sim.nodes {
			n.boot()
		}
		sim.advanceUntil("a follower has synced entries", func() bool { return len(sim.nodes[1].durable.Entries) > 0 })
		founder := sim.nodes[0]
		founder.loseDisk()
		sim.nodes[1].crash()
		founder.boot()
		sim.advance(time.Second)
		require.Zero(t, founder.reducer.Status().Last, "seed %d", seed)
	}
}
