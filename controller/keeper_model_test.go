package controller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/controller"
)

// leaseWorld is one agent that renews its lease with leaders that change. Each
// process has a clock of its own rate; no leader's runs more than a tenth faster
// than the agent's.
type leaseWorld struct {
	t      require.TestingT
	now    time.Duration // true time
	keeper *controller.Keeper
	rate   float64 // of the leader's clock
	agent  float64 // rate of the agent's clock
	member controller.Member
	exists bool
	sent   []time.Duration // heartbeats on their way
	holds  time.Duration   // until when the agent relies on its lease, in true time
}

func (w *leaseWorld) leaderTime() time.Time {
	return epoch.Add(time.Duration(float64(w.now) * w.rate))
}

func (w *leaseWorld) takeLease(sent, length time.Duration) {
	w.holds = max(w.holds, sent+time.Duration(float64(length)/w.agent))
}

func (w *leaseWorld) elect(rate float64) {
	w.keeper = controller.NewKeeper()
	w.rate = rate
	var members []controller.Member
	if w.exists {
		members = append(members, w.member)
	}
	w.keeper.Reduce(w.leaderTime(), controller.BecameLeader{Members: members})
}

func (w *leaseWorld) announce() {
	if w.exists {
		return
	}
	w.exists = true
	w.member.Token++
	w.takeLease(w.now, controller.LeaseDuration)
	w.keeper.Reduce(w.leaderTime(), controller.MembersChanged{Delta: controller.MemberDelta{Members: []controller.Member{w.member}}})
}

func (w *leaseWorld) deliver(i int) {
	sent := w.sent[i]
	effects := w.keeper.Reduce(w.leaderTime(), heard(w.member.Incarnation))
	if answer := effects[0].(controller.Answer).Answer; answer.Renewal == controller.Renewed {
		w.takeLease(sent, answer.LeaseDuration)
	}
}

// tick: an expiry may be proposed only when the agent relies on no lease.
func (w *leaseWorld) tick() {
	for range w.keeper.Reduce(w.leaderTime(), controller.Ticked{}) {
		require.GreaterOrEqual(w.t, w.now, w.holds, "the lease still runs at its agent")
		w.exists = false
		w.keeper.Reduce(w.leaderTime(), controller.MembersChanged{Delta: controller.MemberDelta{Whole: true}})
	}
}

func TestNoLeaseEndsBeforeItsAgentLetsGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.Float64Range(1, 1.1)
		w := &leaseWorld{t: t, agent: 1, member: controller.Member{Announce: controller.Announce{Upstream: "u1", Incarnation: 2}}}
		w.elect(rates.Draw(t, "rate"))
		w.announce()
		t.Repeat(map[string]func(*rapid.T){
			"send":  func(*rapid.T) { w.sent = append(w.sent, w.now) },
			"elect": func(t *rapid.T) { w.elect(rates.Draw(t, "rate")) },
			"deliver": func(t *rapid.T) {
				if len(w.sent) == 0 {
					t.Skip("no heartbeat yet")
				}
				w.deliver(rapid.IntRange(0, len(w.sent)-1).Draw(t, "heartbeat"))
			},
			"announce":  func(*rapid.T) { w.announce() },
			"pass time": func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"":          func(*rapid.T) { w.tick() },
		})
	})
}
