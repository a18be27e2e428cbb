package controller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/controller"
)

// leaseSimulation models one agent that renews its lease with changing leaders.
// Each process has a clock with its own rate; a leader's clock runs at most a tenth
// faster than the agent's, which is what expiryMargin allows for.
type leaseSimulation struct {
	t          require.TestingT
	now        time.Duration // true time
	keeper     *controller.LeaseTracker
	leaderRate float64 // of the leader's clock, relative to true time
	agentRate  float64 // of the agent's clock, relative to true time
	member     controller.Member
	isMember   bool
	sent       []time.Duration // when each heartbeat was sent; any of them may still be delivered
	leaseEnd   time.Duration   // end of the agent's lease by the agent's clock, in true time
}

func (s *leaseSimulation) leaderTime() time.Time {
	return epoch.Add(time.Duration(float64(s.now) * s.leaderRate))
}

func (s *leaseSimulation) extendLease(sent, length time.Duration) {
	s.leaseEnd = max(s.leaseEnd, sent+time.Duration(float64(length)/s.agentRate))
}

func (s *leaseSimulation) elect(rate float64) {
	s.keeper = controller.NewLeaseTracker()
	s.leaderRate = rate
	var members []controller.Member
	if s.isMember {
		members = append(members, s.member)
	}
	s.keeper.Reduce(s.leaderTime(), controller.BecameLeader{Members: members})
}

func (s *leaseSimulation) announce() {
	if s.isMember {
		return
	}
	s.isMember = true
	s.member.Token++
	s.extendLease(s.now, controller.LeaseDuration)
	s.keeper.Reduce(s.leaderTime(), controller.MembersChanged{Delta: controller.MemberDelta{Members: []controller.Member{s.member}}})
}

func (s *leaseSimulation) deliver(i int) {
	sent := s.sent[i]
	effects := s.keeper.Reduce(s.leaderTime(), heartbeatFrom(s.member.Incarnation))
	if answer := effects[0].(controller.AnswerHeartbeat).Answer; answer.Renewal == controller.Renewed {
		s.extendLease(sent, answer.LeaseDuration)
	}
}

// tick requires that the keeper proposes an expiry only after the agent's lease has
// ended.
func (s *leaseSimulation) tick() {
	for range s.keeper.Reduce(s.leaderTime(), controller.Ticked{}) {
		require.GreaterOrEqual(s.t, s.now, s.leaseEnd, "the agent's lease is still running")
		s.isMember = false
		s.keeper.Reduce(s.leaderTime(), controller.MembersChanged{Delta: controller.MemberDelta{Whole: true}})
	}
}

func TestNoLeaseEndsBeforeItsAgentLetsGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.Float64Range(1, 1.1)
		s := &leaseSimulation{t: t, agentRate: 1, member: controller.Member{Announce: controller.Announce{Upstream: "u1", Incarnation: 2}}}
		s.elect(rates.Draw(t, "rate"))
		s.announce()
		t.Repeat(map[string]func(*rapid.T){
			"send":  func(*rapid.T) { s.sent = append(s.sent, s.now) },
			"elect": func(t *rapid.T) { s.elect(rates.Draw(t, "rate")) },
			"deliver": func(t *rapid.T) {
				if len(s.sent) == 0 {
					t.Skip("no heartbeat yet")
				}
				s.deliver(rapid.IntRange(0, len(s.sent)-1).Draw(t, "heartbeat"))
			},
			"announce":  func(*rapid.T) { s.announce() },
			"pass time": func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"":          func(*rapid.T) { s.tick() },
		})
	})
}
