package placer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// Guards against a lasting lack of a leader whose reason no log shows (the users' record of
// 2026-12-06, CONFIG).
func TestLackOfALeaderIsExplained(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := leaderlessLog{log: zap.New(core)}
	now := time.Unix(1_700_000_000, 0)
	status := replicator.Status{Replica: "a", Role: replicator.PreCandidate, Term: 9, Members: []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Name: "a", Voter: true}},
		{Member: recorder.Member{Replica: "b", Name: "b", Voter: true}, LastHeard: now},
		{Member: recorder.Member{Replica: "c", Name: "c", Standby: true}},
	}, Joiners: []replicator.JoinerStatus{{Name: "d"}}}
	for range 15 {
		l.observe(now, status)
		now = now.Add(time.Second)
	}
	lines := logs.TakeAll()
	require.Len(t, lines, 3)
	fields := lines[0].ContextMap()
	require.Equal(t, []any{"voter a, this replica", "voter b, heard 3000 ms ago", "learner c, never heard"}, fields["members"])
	require.Equal(t, []any{"d"}, fields["waiting"])
	require.EqualValues(t, 9, fields["term"])
	status.LeaderAddr = netip.MustParseAddrPort("10.0.0.2:1")
	l.observe(now, status)
	status.LeaderAddr = netip.AddrPort{}
	l.observe(now, status)
	require.Empty(t, logs.TakeAll(), "an election takes a while")
}
