package placer

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/recorder"
	"celeryvalve/registrar"
	"celeryvalve/repairer"
	"celeryvalve/replicator"
	"celeryvalve/spreader"
)

// Guards against the loss of a majority when a second replica is lost as soon as the
// platform allows it: its time to catch up after the replacement of the first one started.
// The replacement then must have a vote, and the lost replica none.
func TestReplacementVotesBeforeTheNextLoss(t *testing.T) {
	const catchUp, replacedAfter = 4 * time.Second, time.Second
	r := repairer.New(repairer.NewConfig(1, catchUp))
	lost := time.Unix(1_700_000_000, 0)
	status := replicator.Status{Role: replicator.Leader, Replica: "a", Commit: 9, MembershipIndex: 1}
	status.Members = []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Name: "a", Voter: true}},
		{Member: recorder.Member{Replica: "b", Name: "b", Voter: true}},
		{Member: recorder.Member{Replica: "c", Name: "c", Voter: true}, LastHeard: lost},
	}
	var replacedAt time.Duration
	for at := time.Duration(0); at < time.Minute && replacedAt == 0; at += replicaReconcileInterval {
		now := lost.Add(at)
		status.Members[0].LastHeard, status.Members[1].LastHeard = now, now
		if at >= replacedAfter && len(status.Members) == 3 {
			status.Joiners = []replicator.JoinerStatus{{Replica: "d", Name: "d", LastHeard: now}}
		}
		switch action := r.Decide(now, status); action.Kind {
		case repairer.AddStandby:
			status.Joiners = nil
			status.Members = append(status.Members, replicator.MemberStatus{Member: recorder.Member{Replica: "d", Name: "d", Standby: true}, LastHeard: now.Add(time.Hour)})
		case repairer.Replace:
			require.Equal(t, identifier.Replica("c"), action.Voter)
			replacedAt = at
		}
	}
	require.Positive(t, replacedAt)
	require.LessOrEqual(t, replacedAt, replacedAfter+catchUp)
	// The steps of the change have the rest of the time, also if the successor starts at the loss.
	require.LessOrEqual(t, replacedAt, catchUp/2+2*replicaReconcileInterval)
}

// Guards against a stopping replica that waits in vain to lose its place: once it is removed, no
// leader tells it so, only the list that other processes pass on.
func TestHandOverEndsWhenTheListLacksTheReplica(t *testing.T) {
	view := declarer.NewView(asserter.Strict{})
	s := spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clockwork.NewFakeClock(), zap.NewNop())
	r := &replica{spreader: s}
	status := replicator.Status{Replica: "a", MembershipIndex: 5, Members: []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Voter: true}}, {Member: recorder.Member{Replica: "b", Voter: true}},
	}}
	require.False(t, r.isReplaceable(status), "there is no standby")
	status.Members = append(status.Members, replicator.MemberStatus{Member: recorder.Member{Replica: "d", Standby: true}})
	require.True(t, r.isReplaceable(status))
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}
	s.SetReplicas(spreader.Replicas{Index: 6, Led: true, Addresses: addresses, Disks: []identifier.Replica{"a", "b", "d"}})
	require.True(t, r.isReplaceable(status))
	s.SetReplicas(spreader.Replicas{Index: 7, Led: true, Addresses: addresses, Disks: []identifier.Replica{"b", "d"}})
	require.False(t, r.isReplaceable(status))
}

// Guards against metrics of the control replica that the process does not expose, or no longer does once the disk was
// opened again.
func TestMetricsOfTheReplicaAreExposed(t *testing.T) {
	const gauge = "celeryvalve_control_learner_backlog_bytes"
	view, clock, set := declarer.NewView(asserter.Strict{}), clockwork.NewFakeClock(), metrics.NewSet()
	r := newReplica(replicaDeps{
		Placement: parser.Placement{DataFolder: t.TempDir()},
		View:      view,
		Spreader:  spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clock, zap.NewNop()),
		Asserter:  asserter.Strict{},
		Clock:     clock,
		Metrics:   set,
		Log:       zap.NewNop(),
	})
	exposed := func() int {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		return strings.Count(text.String(), gauge+" 0\n")
	}
	require.Zero(t, exposed(), "no disk is open")
	for range 2 {
		clock.Advance(reopenInterval)
		r.open()
		require.Equal(t, 1, exposed())
		r.closeNode(r.currentNode(), nil)
	}
}
