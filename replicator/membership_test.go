package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// startedSimulation returns a simulation of three replicas, each of which has
// applied a command.
func startedSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 3)
	sim.heal()
	sim.converge()
	return sim
}

func follower(sim *simulation) *node {
	leader := sim.leader()
	for _, n := range sim.nodes {
		if n != leader {
			return n
		}
	}
	return nil
}

// TestRepairThenSecondLoss: no committed entry may be lost if a second disk is lost
// as soon as the replacement of the first is reported as complete.
func TestRepairThenSecondLoss(t *testing.T) {
	sim := startedSimulation(t, 1)
	first := follower(sim)
	first.loseDisk()
	first.boot()
	sim.advance(time.Second)
	leader := sim.leader()
	for range 30 {
		sim.propose(leader)
	}
	id := sim.admit(leader, first.name)
	sim.advanceUntil("the repair is done", func() bool { return sim.answers[id] != nil })
	require.IsType(t, replicator.Completed{}, sim.answers[id])
	committed := sim.lastCommitted
	leader.loseDisk()
	leader.boot()
	sim.repairAll()
	sim.converge()
	require.Greater(t, sim.lastCommitted, committed)
}

// TestLateLearnerGetsLog: a learner that is admitted while no command is proposed
// must still receive the log.
func TestLateLearnerGetsLog(t *testing.T) {
	sim := startedSimulation(t, 2)
	lost := follower(sim)
	lost.loseDisk()
	lost.boot()
	sim.advance(time.Second)
	sim.admit(sim.leader(), lost.name)
	sim.advanceUntil("the learner votes", sim.fullyRepaired)
}

// TestLearnerVotesOnlyWhenSynced: a learner with a slow disk must not become a voter before it has synced
// every entry that was committed at its admission, if a majority needs more of the voters from then on.
func TestLearnerVotesOnlyWhenSynced(t *testing.T) {
	sim := startedSimulation(t, 3)
	added := sim.addNode()
	added.spare, added.slowDisk = true, true
	added.boot()
	for range 30 {
		sim.propose(sim.leader())
	}
	sim.advance(time.Second)
	committed := sim.lastCommitted
	id := sim.admit(sim.leader(), added.name)
	sim.advanceUntil("the learner votes", func() bool {
		m, ok := sim.membership().Find(added.replica)
		return ok && m.Voter
	})
	require.Equal(t, committed, min(committed, added.reducer.Status().Stable))
	sim.advanceUntil("the repair is done", func() bool { return sim.answers[id] != nil })
	require.IsType(t, replicator.Completed{}, sim.answers[id])
}

func TestAdmissionNeedsAnnouncement(t *testing.T) {
	sim := startedSimulation(t, 4)
	id := sim.admit(sim.leader(), "c9")
	rejected, ok := sim.answers[id].(replicator.Rejected)
	require.True(t, ok)
	require.Equal(t, replicator.NotPossible, rejected.Reason)
}

// TestLearnerLostDuringRepair: if the disk of a learner is lost during its
// admission, another disk must be able to replace both the learner and the voter.
func TestLearnerLostDuringRepair(t *testing.T) {
	sim := startedSimulation(t, 5)
	lost := follower(sim)
	lost.loseDisk()
	lost.boot()
	sim.advance(time.Second)
	first := sim.admit(sim.leader(), lost.name)
	lost.loseDisk()
	sim.advance(time.Second)
	lost.boot()
	sim.advance(time.Second)
	second := sim.admit(sim.leader(), lost.name)
	sim.advanceUntil("the second repair is done", func() bool { return sim.answers[second] != nil })
	require.IsType(t, replicator.Rejected{}, sim.answers[first])
	require.IsType(t, replicator.Completed{}, sim.answers[second])
	require.True(t, sim.fullyRepaired())
}

// TestReturningOldDiskIsRefused: a replica that returns with its replaced disk must
// neither start a new term nor receive new entries.
func TestReturningOldDiskIsRefused(t *testing.T) {
	sim := startedSimulation(t, 6)
	lost := follower(sim)
	oldReplica, oldDisk := lost.replica, lost.durable
	lost.loseDisk()
	lost.boot()
	sim.advance(time.Second)
	sim.admit(sim.leader(), lost.name)
	sim.advanceUntil("the learner votes", sim.fullyRepaired)
	lost.crash()
	lost.replica, lost.durable = oldReplica, oldDisk
	lost.boot()
	sim.advance(5 * time.Second)
	term := sim.leader().reducer.Status().Term
	sim.propose(sim.leader())
	sim.advance(5 * time.Second)
	require.Equal(t, term, sim.leader().reducer.Status().Term)
	require.Less(t, lost.applied.Index, sim.lastCommitted)
}

// TestChangeSaysWhatItWaitsFor: an admission that lasts must show its step and what is left.
func TestChangeSaysWhatItWaitsFor(t *testing.T) {
	sim := startedSimulation(t, 2)
	leader, added := sim.leader(), sim.addNode()
	require.Equal(t, replicator.NoChange, leader.reducer.Status().ChangeStep)
	added.spare, added.slowDisk = true, true
	added.boot()
	for range 30 {
		sim.propose(leader)
	}
	sim.advance(time.Second)
	sim.admit(leader, added.name)
	require.Equal(t, replicator.AwaitingCommit, leader.reducer.Status().ChangeStep)
	steps := make(map[replicator.ChangeStep]bool)
	sim.advanceUntil("the change is done", func() bool {
		status := leader.reducer.Status()
		steps[status.ChangeStep] = true
		for _, m := range status.Members {
			if m.Replica == added.replica && m.Match < status.Commit {
				require.Positive(t, m.Backlog.Entries+int(m.Backlog.SnapshotBytes))
			}
		}
		return status.ChangeStep == replicator.NoChange
	})
	require.True(t, steps[replicator.AwaitingSnapshot], "%v", steps)
}

// TestCommandsWaitForAMembershipChange: the next step of a membership change must not wait for commands that
// came after the last one, and such a command must be answered in any case.
func TestCommandsWaitForAMembershipChange(t *testing.T) {
	command := replicator.Proposed{Proposals: []replicator.Proposal{{ID: 20, Data: []byte("command")}}}
	h := newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	h.feed(replicator.RemoveRequested{ID: 10, Name: "c"})
	require.Len(t, h.entries, 2)
	h.feed(command)
	require.Len(t, h.entries, 2, "the change is not committed")
	h.acknowledge("b", 4)
	require.Len(t, h.entries, 3)

	h = newHarness(t, voters("a", "b", "c"), asserter.Strict{})
	h.lead()
	h.acknowledge("b", 3)
	h.feed(replicator.RemoveRequested{ID: 10, Name: "c"})
	h.feed(command)
	h.feed(replicator.Received{Message: &replicator.AppendRequest{Envelope: h.envelope("c", 9)}})
	require.Contains(t, h.answers, replicator.Effect(replicator.Rejected{ID: 20, Reason: replicator.NotLeader}))
}

// TestHeldCommandsCountAsPending: commands that are held back while the entries of an earlier term are committed
// must count as pending bytes once they are appended.
func TestHeldCommandsCountAsPending(t *testing.T) {
	const limit = 1000
	members := voters("a", "b", "c")
	changed := members.Clone()
	changed.Members = append(changed.Members, recorder.Member{Replica: "d", Name: "d", Standby: true})
	old := second(members)
	change := recorder.Entry{Index: 3, Term: 2, Kind: recorder.MembershipChange, Membership: &changed}
	change.Chain = change.ChainAfter(old.Chain)
	h := newHarness(t, members, asserter.Strict{})
	h.reducer = replicator.New(replicator.Config{Replica: "a", Name: "a", MaxPendingBytes: limit}, recorder.State{
		HardState: recorder.HardState{Cluster: "x", Term: 2},
		Snapshot:  &recorder.Snapshot{Position: first(members).Position(), Membership: *members},
		Entries:   []recorder.Entry{old, change},
	}, asserter.Strict{})
	h.lead()
	propose := func(id replicator.RequestID, size int) {
		h.feed(replicator.Proposed{Proposals: []replicator.Proposal{{ID: id, Data: make([]byte, size)}}})
	}
	propose(20, limit-len(old.Data))
	propose(21, len(old.Data)+1)
	require.Empty(t, h.answers)
	h.acknowledge("b", 4)
	propose(22, 1)
	require.Len(t, h.answers, 1)
	require.Equal(t, replicator.Busy, h.answers[0].(replicator.Rejected).Reason)
}
