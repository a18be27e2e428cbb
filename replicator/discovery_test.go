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

// TestFounderThatRestartsDuringTheFirstStart: a founder that is killed before the cluster
// exists, and restarts with settings that no longer name the founders, must not keep the
// others waiting for it.
func TestFounderThatRestartsDuringTheFirstStart(t *testing.T) {
	for killed := range 3 {
		sim := newSimulation(t, 1, 3)
		last := sim.nodes[(killed+2)%3]
		for _, n := range sim.nodes {
			if n != last {
				n.boot()
			}
		}
		sim.advance(200 * time.Millisecond)
		sim.nodes[killed].crash()
		last.boot()
		sim.advance(500 * time.Millisecond)
		sim.nodes[killed].spare = true
		sim.nodes[killed].boot()
		sim.converge()
	}
}

// TestFoundersThatAllRestartDuringTheFirstStart: the disks must name the founders, since the
// settings no longer do and no other founder remembers them.
func TestFoundersThatAllRestartDuringTheFirstStart(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	for _, n := range sim.nodes {
		n.boot()
		sim.advance(100 * time.Millisecond)
		n.crash()
	}
	for _, n := range sim.nodes {
		n.spare = true
	}
	for _, n := range sim.nodes {
		n.boot()
	}
	sim.converge()
}

// TestFounderWithoutSettingsDoesNotFoundBesideACluster: founders that lost their disks must not
// bootstrap a second cluster while another founder holds entries of the first.
func TestFounderWithoutSettingsDoesNotFoundBesideACluster(t *testing.T) {
	sim := startedSimulation(t, 7)
	sim.nodes[1].loseDisk()
	sim.nodes[1].boot()
	sim.nodes[0].loseDisk()
	sim.nodes[0].spare = true
	sim.nodes[0].boot()
	sim.advance(10 * time.Second)
	require.Zero(t, sim.nodes[0].reducer.Status().Last)
	require.Zero(t, sim.nodes[1].reducer.Status().Last)
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
