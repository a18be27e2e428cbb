package repairer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/repairer"
	"celeryvalve/replicator"
)

var now = time.Unix(1_700_000_000, 0)

func newRepairer(tolerated int) *repairer.Repairer {
	return repairer.New(repairer.Config{ToleratedLosses: tolerated, SilentAfter: 8 * time.Second, JoinerLifetime: time.Second, AnswerTimeout: 300 * time.Millisecond})
}

func member(name string, silence time.Duration, voter bool) replicator.MemberStatus {
	return replicator.MemberStatus{
		Member:    recorder.Member{Replica: identifier.Replica("disk-" + name), Name: name, Voter: voter},
		LastHeard: now.Add(-silence),
	}
}

func standby(name string, silence time.Duration) replicator.MemberStatus {
	m := member(name, silence, false)
	m.Standby = true
	return m
}

func leaving(name string) replicator.MemberStatus {
	m := member(name, 0, true)
	m.Leaving = true
	return m
}

func joiner(name, disk string) replicator.JoinerStatus {
	return replicator.JoinerStatus{Replica: identifier.Replica(disk), Name: name, LastHeard: now}
}

func leaderStatus(members ...replicator.MemberStatus) replicator.Status {
	return replicator.Status{Role: replicator.Leader, Replica: "disk-a", Members: members}
}

func TestSetsOfReplicas(t *testing.T) {
	cases := []struct {
		name      string
		tolerated int
		status    replicator.Status
		want      repairer.Kind
		target    string
	}{
		{"whole set", 1, leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true)), repairer.None, ""},
		{"a new replica learns before a place is free", 1,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 4*time.Second, true)), joiner("d", "new")), repairer.AddStandby, "d"},
		{"restart of a voter is waited for", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 4*time.Second, true), standby("d", 0)), repairer.None, ""},
		{"lost disk at the same address", 1,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 2*time.Second, true)), joiner("c", "new")), repairer.Admit, "c"},
		{"announcement of a disk whose member still answers", 1,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true)), joiner("c", "new")), repairer.None, ""},
		{"successor at another address", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 9*time.Second, true), standby("d", 0)), repairer.Replace, "c"},
		{"a silent standby replaces nobody", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 9*time.Second, true), standby("d", 2*time.Second)), repairer.None, ""},
		{"a silent standby leaves", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true), standby("d", 9*time.Second)), repairer.Remove, "d"},
		{"a standby lost its disk", 1,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true), standby("d", 2*time.Second)), joiner("d", "new")), repairer.AddStandby, "d"},
		{"a voter that is about to stop hands over its place", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), leaving("c"), standby("d", 0)), repairer.Replace, "c"},
		{"a voter that is about to stop stays without a successor", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), leaving("c")), repairer.None, ""},
		{"a lost voter comes before one that is about to stop", 1,
			leaderStatus(member("a", 0, true), member("b", 9*time.Second, true), leaving("c"), standby("d", 0)), repairer.Replace, "b"},
		{"too few voters", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), standby("d", 0)), repairer.Replace, "d"},
		{"enough standbys", 1,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true), standby("d", 0), standby("e", 0), standby("f", 0)), joiner("g", "new")), repairer.None, ""},
		{"the one that was replaced leaves", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 9*time.Second, true), member("d", 0, true)), repairer.Remove, "c"},
		{"nobody leaves without a successor", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("c", time.Hour, true)), repairer.None, ""},
		{"two losses are to be borne", 2,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true)), joiner("e", "new"), joiner("d", "newer")), repairer.AddStandby, "d"},
		{"one change at a time", 2,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 0, true), member("d", 0, false)), joiner("e", "new")), repairer.None, ""},
		{"a disk that is lost during another change waits", 1,
			withJoiners(leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 2*time.Second, true), member("d", 0, false)), joiner("c", "new")), repairer.None, ""},
		{"new replica falls silent", 1,
			leaderStatus(member("a", 0, true), member("b", 0, true), member("d", 9*time.Second, false)), repairer.Remove, "d"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			action := newRepairer(c.tolerated).Decide(now, c.status)
			require.Equal(t, c.want, action.Kind)
			require.Equal(t, c.target, action.Name)
		})
	}
}

func withJoiners(s replicator.Status, joiners ...replicator.JoinerStatus) replicator.Status {
	s.Joiners = joiners
	return s
}

// A new leader knows of no answers yet, such as one that stood still before its election.
func TestNewLeaderWaitsForAnswers(t *testing.T) {
	s := leaderStatus(member("a", 0, true), member("b", 0, true), member("c", 9*time.Second, true), standby("d", 0))
	s.LeaderSince = now.Add(-200 * time.Millisecond)
	require.Equal(t, repairer.None, newRepairer(1).Decide(now, s).Kind)
}

func TestFollowerDecidesNothing(t *testing.T) {
	s := withJoiners(leaderStatus(member("a", 0, true)), joiner("d", "new"))
	s.Role = replicator.Follower
	require.Equal(t, repairer.None, newRepairer(1).Decide(now, s).Kind)
}
