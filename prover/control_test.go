package prover_test

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/administrator"
	"celeryvalve/controller"
	"celeryvalve/identifier"
)

func operatorPatch(i int) string {
	return fmt.Sprintf("[Organisations.organisation%d]\nShare = %d\n", i, i%7+1)
}

func TestKilledLeaderLosesNoPatch(t *testing.T) {
	c := newCluster(t, 61)
	c.entries()
	c.declare("")
	version := identifier.ConfigurationVersion(1)
	for round := range 3 {
		leader, _ := c.leader()
		killed := make(chan struct{})
		go func() { c.processes[c.entryName(leader)].kill(); close(killed) }()
		for i := range 3 {
			id := fmt.Sprintf("patch-%d-%d", round, i)
			answer, code := c.patch(id, version, operatorPatch(round*3+i))
			require.Equal(t, 0, code, "%v", answer)
			require.Equal(t, version+1, answer.Version)
			version = answer.Version
			again, code := c.patch(id, version-1, operatorPatch(round*3+i))
			require.Equal(t, 0, code)
			require.Equal(t, answer.Version, again.Version)
		}
		<-killed
		c.entry(leader)
	}
	c.inForce(version, entries)
}

// TestLeaderKilledAtEachStepOfAPatch kills the leader at rising delays after a
// patch was sent: before it comes, between its append, sync, replication, commit
// and answer, and after. The operator resends, and each patch makes one version.
func TestLeaderKilledAtEachStepOfAPatch(t *testing.T) {
	c := newCluster(t, 66)
	c.entries()
	c.declare("")
	client := newAPI(c)
	version := identifier.ConfigurationVersion(1)
	for i, delay := range []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 8 * time.Millisecond} {
		leader, _ := c.leader()
		id := fmt.Sprintf("step-%d", i)
		accepted := make(chan identifier.ConfigurationVersion, 1)
		go func() { accepted <- client.patch(id, version, operatorPatch(i)) }()
		time.Sleep(delay)
		c.processes[c.entryName(leader)].kill()
		require.Equal(t, version+1, <-accepted, "killed after %s", delay)
		require.Equal(t, version+1, client.patch(id, version, operatorPatch(i)), "resent after %s", delay)
		version++
		c.entry(leader)
	}
	c.inForce(version, entries)
}

func TestRacingPatchesHaveOneWinner(t *testing.T) {
	c := newCluster(t, 62)
	c.entries()
	c.declare("")
	type result struct {
		answer controller.PatchAnswer
		code   int
	}
	const racers = 6
	results := make(chan result, racers)
	for i := range racers {
		go func() {
			answer, code := c.patch(fmt.Sprintf("racer-%d", i), 1, operatorPatch(i))
			results <- result{answer, code}
		}()
	}
	won := 0
	for range racers {
		r := <-results
		if r.code == 0 {
			won++
			continue
		}
		require.Equal(t, 3, r.code)
		require.Equal(t, controller.Conflict, r.answer.Outcome)
		require.NotEmpty(t, r.answer.Winner.ID)
		require.NotEmpty(t, r.answer.Changes)
	}
	require.Equal(t, 1, won)
	c.inForce(2, entries)
}

func TestFrozenLeaderIsReplacedAndCorrected(t *testing.T) {
	c := newCluster(t, 63)
	c.entries()
	c.declare("")
	leader, _ := c.leader()
	c.processes[c.entryName(leader)].signal(syscall.SIGSTOP)
	answer, code := c.patch("while-frozen", 1, operatorPatch(1))
	require.Equal(t, 0, code, "%v", answer)
	c.processes[c.entryName(leader)].signal(syscall.SIGCONT)
	// The old leader accepts nothing on its old version and learns the new one.
	late, code := c.patch("late", 1, operatorPatch(2))
	require.Equal(t, 3, code, "%v", late)
	c.inForce(2, entries)
}

func TestLostDiskIsReplacedBeforeASecondLoss(t *testing.T) {
	c := newCluster(t, 64)
	c.entries()
	c.declare("")
	leader, lost := c.leader()
	c.processes[c.entryName(lost)].kill()
	require.NoError(t, os.RemoveAll(c.path(c.entryName(lost)+"-data")))
	answer, code := c.patch("without-it", 1, operatorPatch(1))
	require.Equal(t, 0, code, "%v", answer)
	c.entry(lost)
	c.eventually("the new disk waits", func() bool {
		v, ok := view[administrator.ReplicasView](c, "replica", "list")
		return ok && len(v.Waiting) == 1
	})
	c.eventually("the new disk is admitted", func() bool {
		_, code := c.try("celeryvalve", c.operator("replica", "admit", c.entryName(lost))...)
		return code == 0
	})
	// The repair is done, so the loss of another one loses nothing.
	c.processes[c.entryName(leader)].kill()
	answer, code = c.patch("after-second-loss", 2, operatorPatch(2))
	require.Equal(t, 0, code, "%v", answer)
	require.Equal(t, identifier.ConfigurationVersion(3), answer.Version)
}

func TestProcessFarBehindCatchesUp(t *testing.T) {
	c := newCluster(t, 65)
	c.entries()
	c.declare("")
	_, away := c.leader()
	c.processes[c.entryName(away)].kill()
	const patches = 520
	version := identifier.ConfigurationVersion(1)
	client := newAPI(c)
	for i := range patches {
		version = client.patch(fmt.Sprintf("many-%d", i), version, fmt.Sprintf("[Organisations.callers]\nShare = %d\n", i%9+1))
	}
	c.entry(away)
	c.inForce(version, entries)
	// The first answer is given again after hundreds of versions.
	answer, code := c.patch("many-0", 1, "[Organisations.callers]\nShare = 1\n")
	require.Equal(t, 0, code)
	require.Equal(t, identifier.ConfigurationVersion(2), answer.Version)
}
