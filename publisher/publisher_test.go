package publisher

import (
	"context"
	"errors"
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/identifier"
	"celeryvalve/subscriber"
)

// state is an applied state with two services that share a model, and a third service
// without one. Its index is that of the latest change of members.
type state struct {
	index uint64
}

func (s *state) Configuration() configurer.Configuration {
	return configurer.Configuration{Version: 1, Objects: configurer.Objects{
		Services: map[identifier.Service]configurer.Service{
			"drafting": {Model: "summaries"}, "letters": {Model: "summaries"}, "booking": {},
		},
	}}
}

func (s *state) MembersSince(index uint64) subscriber.MembersUpdate {
	update := subscriber.MembersUpdate{Index: s.index, Whole: index == 0}
	if index < s.index {
		update.Changed = []subscriber.Member{
			{Upstream: "d", Service: "drafting"}, {Upstream: "l", Service: "letters"}, {Upstream: "b", Service: "booking"},
		}
	}
	return update
}

func (s *state) Quarantine() subscriber.Quarantine { return subscriber.Quarantine{} }

// leader is a stub of the leader and of the calls to it.
type leader struct {
	answer   *RenewAnswer // nil: the leader is unreachable
	received []Renewal    // those of the latest call
}

func (l *leader) Leader() (netip.AddrPort, bool) {
	return netip.MustParseAddrPort("127.0.0.1:7400"), true
}

func (l *leader) Call(_ context.Context, _ netip.AddrPort, request any) (any, error) {
	l.received = request.(*RenewLeases).Renewals
	if l.answer == nil {
		return nil, errors.New("unreachable")
	}
	return l.answer, nil
}

func newPublisher(l *leader) (*Publisher, *subscription) {
	p := New(&state{index: 4}, l, l, clockwork.NewFakeClock(), metrics.NewSet(), zap.NewNop())
	sub := p.add(&subscriber.Subscribe{Need: configurer.Need{Services: []identifier.Service{"drafting"}}}, connector.Peer{})
	return p, sub
}

// An agent is sent the members of the services that share the model of its own service,
// since their upstreams exchange weights, but no others.
func TestAgentHearsOfMembersThatShareItsWeights(t *testing.T) {
	p, sub := newPublisher(&leader{})
	update, _ := p.nextUpdate(sub)
	require.NotNil(t, update.Configuration)
	var names []identifier.Upstream
	for _, m := range update.Members.Changed {
		names = append(names, m.Upstream)
	}
	require.Equal(t, []identifier.Upstream{"d", "l"}, names)
	update, _ = p.nextUpdate(sub)
	require.Nil(t, update, "nothing has changed since the first update")
}

// A replica that can't reach the leader, or whose call is answered by a replica that does
// not lead, must not confirm a renewal: the agent of the upstream would go on to use a lease
// that the leader lets expire. A refused renewal is not confirmed either.
func TestOnlyALeaderRenewsLeases(t *testing.T) {
	l := &leader{}
	p, sub := newPublisher(l)
	sub.report = subscriber.Report{Upstream: "d", Incarnation: 7}
	sub.pendingSequence = 3
	p.renew(t.Context())
	require.Equal(t, []Renewal{{Upstream: "d", Incarnation: 7}}, l.received)
	require.Zero(t, sub.renewedSequence, "the leader is unreachable")

	l.answer = &RenewAnswer{}
	p.renew(t.Context())
	require.Zero(t, sub.renewedSequence, "the replica is not the leader")

	l.answer = &RenewAnswer{Leading: true}
	p.renew(t.Context())
	require.Equal(t, uint64(3), sub.renewedSequence)

	sub.pendingSequence = 4
	l.answer = &RenewAnswer{Leading: true, Refused: []identifier.Upstream{"d"}}
	p.renew(t.Context())
	require.Equal(t, uint64(3), sub.renewedSequence)
	require.True(t, sub.superseded)
}
