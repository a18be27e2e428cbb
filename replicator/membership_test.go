package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/replicator"
)

// startedWorld returns three replicas that have committed some commands.
func startedWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 3)
	w.heal()
	w.converge()
	return w
}

func follower(w *world) *node {
	leader := w.leader()
	for _, n := range w.nodes {
		if n != leader {
			return n
		}
	}
	return nil
}

// TestRepairThenSecondLoss replaces a lost disk and loses another one at the
// moment at which the repair counts as done.
func TestRepairThenSecondLoss(t *testing.T) {
	w := startedWorld(t, 1)
	first := follower(w)
	first.loseDisk()
	first.boot()
	w.advance(time.Second)
	leader := w.leader()
	for range 30 {
		w.propose(leader)
	}
	id := w.admit(leader, first.name)
	w.advanceUntil("the repair is done", func() bool { return w.answers[id] != nil })
	require.IsType(t, replicator.Completed{}, w.answers[id])
	committed := w.highest
	leader.loseDisk()
	leader.boot()
	w.repairAll()
	w.converge()
	require.Greater(t, w.highest, committed)
}

// TestLateLearnerGetsLog: a learner that is admitted when nothing more is
// proposed must still get the log.
func TestLateLearnerGetsLog(t *testing.T) {
	w := startedWorld(t, 2)
	lost := follower(w)
	lost.loseDisk()
	lost.boot()
	w.advance(time.Second)
	w.admit(w.leader(), lost.name)
	w.advanceUntil("the learner votes", w.whole)
}

// TestLearnerVotesOnlyWhenSynced: a learner whose disk is slow becomes a voter
// only once it has synced all that was committed at its admission.
func TestLearnerVotesOnlyWhenSynced(t *testing.T) {
	w := startedWorld(t, 3)
	lost := follower(w)
	lost.loseDisk()
	lost.boot()
	lost.slowDisk = true
	for range 30 {
		w.propose(w.leader())
	}
	w.advance(time.Second)
	committed := w.highest
	id := w.admit(w.leader(), lost.name)
	w.advanceUntil("the learner votes", func() bool {
		m, ok := w.membership().Find(lost.replica)
		return ok && m.Voter
	})
	require.Equal(t, committed, min(committed, lost.reducer.Status().Stable))
	w.advanceUntil("the repair is done", func() bool { return w.answers[id] != nil })
	require.IsType(t, replicator.Completed{}, w.answers[id])
}

func TestAdmissionNeedsAnnouncement(t *testing.T) {
	w := startedWorld(t, 4)
	id := w.admit(w.leader(), "c9")
	rejected, ok := w.answers[id].(replicator.Rejected)
	require.True(t, ok)
	require.Equal(t, replicator.NotPossible, rejected.Reason)
}

// TestLearnerLostDuringRepair: the learner's disk is lost too, and a third disk
// takes the place of both.
func TestLearnerLostDuringRepair(t *testing.T) {
	w := startedWorld(t, 5)
	lost := follower(w)
	lost.loseDisk()
	lost.boot()
	w.advance(time.Second)
	first := w.admit(w.leader(), lost.name)
	lost.loseDisk()
	w.advance(time.Second)
	lost.boot()
	w.advance(time.Second)
	second := w.admit(w.leader(), lost.name)
	w.advanceUntil("the second repair is done", func() bool { return w.answers[second] != nil })
	require.IsType(t, replicator.Rejected{}, w.answers[first])
	require.IsType(t, replicator.Completed{}, w.answers[second])
	require.True(t, w.whole())
}

// TestReturningOldDiskIsRefused: after the replacement the old identity has no say.
func TestReturningOldDiskIsRefused(t *testing.T) {
	w := startedWorld(t, 6)
	lost := follower(w)
	oldReplica, oldDisk := lost.replica, lost.durable
	lost.loseDisk()
	lost.boot()
	w.advance(time.Second)
	w.admit(w.leader(), lost.name)
	w.advanceUntil("the learner votes", w.whole)
	lost.crash()
	lost.replica, lost.durable = oldReplica, oldDisk
	lost.boot()
	w.advance(5 * time.Second)
	term := w.leader().reducer.Status().Term
	w.propose(w.leader())
	w.advance(5 * time.Second)
	require.Equal(t, term, w.leader().reducer.Status().Term)
	require.Less(t, lost.applied.Index, w.highest)
}
