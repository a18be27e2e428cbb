package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// Guards against an admission that lasts without a log line that says what it waits for.
func TestLastingChangeIsExplained(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := membershipLog{log: zap.New(core)}
	now := time.Unix(1_700_000_000, 0)
	status := replicator.Status{Replica: "a", Role: replicator.Leader, ChangeStep: replicator.AwaitingEntries, Members: []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Name: "a", Voter: true}},
		{Member: recorder.Member{Replica: "b", Name: "b"}, Match: 7, Backlog: replicator.Backlog{Entries: 3, EntryBytes: 120}},
	}}
	for range 12 {
		l.observe(now, status)
		now = now.Add(200 * time.Millisecond)
	}
	lines := logs.TakeAll()
	require.Len(t, lines, 3, "at the first look, and once a second")
	fields := lines[0].ContextMap()
	require.Equal(t, "AwaitingEntries", fields["step"])
	require.Equal(t, "b", fields["learner"])
	require.EqualValues(t, 3, fields["entries"])
	status.ChangeStep = replicator.AwaitingCommit
	l.observe(now, status)
	require.Len(t, logs.TakeAll(), 1, "each step is logged at once")
	status.ChangeStep = replicator.NoChange
	l.observe(now.Add(time.Hour), status)
	require.Empty(t, logs.TakeAll())
}

// Guards against a newcomer whose log does not tell how far it has come.
func TestReplicaWithoutVoteLogsItsProgress(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := membershipLog{log: zap.New(core)}
	now := time.Unix(1_700_000_000, 0)
	status := replicator.Status{Replica: "b", Role: replicator.Follower, Members: []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Name: "a", Voter: true}},
	}}
	for range 12 {
		status.Last++
		l.observe(now, status)
		now = now.Add(200 * time.Millisecond)
	}
	require.Len(t, logs.TakeAll(), 3)
	l.observe(now.Add(time.Hour), status)
	require.Len(t, logs.TakeAll(), 1, "where it has come to in the end")
	l.observe(now.Add(2*time.Hour), status)
	require.Empty(t, logs.TakeAll(), "nothing has changed")
}

// Guards against a log from which nobody can tell when a replica got its vote.
func TestCommittedSetOfReplicasIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := membershipLog{log: zap.New(core)}
	status := replicator.Status{Replica: "a", Role: replicator.Leader, MembershipIndex: 5, Commit: 4, Members: []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Voter: true}},
		{Member: recorder.Member{Replica: "b"}},
	}}
	l.observe(time.Time{}, status)
	require.Empty(t, logs.TakeAll(), "not committed yet")
	status.Commit = 5
	l.observe(time.Time{}, status)
	l.observe(time.Time{}, status)
	lines := logs.TakeAll()
	require.Len(t, lines, 1)
	require.Equal(t, map[string]any{"index": uint64(5), "voters": []any{"a"}, "learners": []any{"b"}}, lines[0].ContextMap())
	status.MembershipIndex, status.Commit, status.Members[1].Voter = 9, 9, true
	l.observe(time.Time{}, status)
	lines = logs.TakeAll()
	require.Len(t, lines, 1)
	require.Equal(t, []any{"a", "b"}, lines[0].ContextMap()["voters"])
	l.observe(time.Time{}, replicator.Status{Replica: "c"})
	require.Empty(t, logs.TakeAll(), "a replica with an empty disk knows no set")
}
