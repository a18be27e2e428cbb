package controller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/controller"
	"celeryvalve/identifier"
)

func heartbeatFrom(incarnation identifier.Incarnation) controller.HeartbeatReceived {
	return controller.HeartbeatReceived{Heartbeat: controller.Heartbeat{Upstream: "u1", Incarnation: incarnation}}
}

func renewal(t *testing.T, effects []controller.Effect) controller.RenewalStatus {
	require.Len(t, effects, 1)
	return effects[0].(controller.AnswerHeartbeat).Answer.Renewal
}

func TestNewLeaderGivesEveryMemberAFullLease(t *testing.T) {
	k := controller.NewLeaseTracker()
	require.Equal(t, controller.NotLeader, renewal(t, k.Reduce(epoch, heartbeatFrom(1))))
	require.Empty(t, k.Reduce(epoch.Add(time.Hour), controller.Ticked{}))
	member := controller.Member{Announce: controller.Announce{Upstream: "u1", Incarnation: 2}, Token: 9}
	k.Reduce(epoch, controller.BecameLeader{Members: []controller.Member{member}})
	require.Empty(t, k.Reduce(epoch.Add(controller.LeaseDuration), controller.Ticked{}))
	require.Equal(t, controller.OldIncarnation, renewal(t, k.Reduce(epoch, heartbeatFrom(1))))
	require.Equal(t, controller.NotMember, renewal(t, k.Reduce(epoch, heartbeatFrom(3))))

	now := epoch.Add(controller.LeaseDuration)
	require.Equal(t, controller.Renewed, renewal(t, k.Reduce(now, heartbeatFrom(2))))
	now = now.Add(controller.LeaseDuration)
	require.Empty(t, k.Reduce(now, controller.Ticked{}))
	now = now.Add(controller.HeartbeatInterval)
	expire := controller.ProposeExpire{Command: controller.Expire{Upstream: "u1", Token: 9}}
	require.Equal(t, []controller.Effect{expire}, k.Reduce(now, controller.Ticked{}))
	require.Empty(t, k.Reduce(now, controller.Ticked{}))
	require.Equal(t, controller.NotMember, renewal(t, k.Reduce(now, heartbeatFrom(2))))
	require.Equal(t, []controller.Effect{expire}, k.Reduce(now.Add(controller.HeartbeatInterval), controller.Ticked{}))

	member.Token = 10
	k.Reduce(now, controller.MembersChanged{Delta: controller.MemberDelta{Members: []controller.Member{member}}})
	require.Equal(t, controller.Renewed, renewal(t, k.Reduce(now, heartbeatFrom(2))))
	k.Reduce(now, controller.LostLeadership{})
	require.Equal(t, controller.NotLeader, renewal(t, k.Reduce(now, heartbeatFrom(2))))
}

func TestKeeperForgetsWhoIsGone(t *testing.T) {
	k := controller.NewLeaseTracker()
	member := controller.Member{Announce: controller.Announce{Upstream: "u1", Incarnation: 2}, Token: 9}
	k.Reduce(epoch, controller.BecameLeader{Members: []controller.Member{member}})
	k.Reduce(epoch, controller.MembersChanged{Delta: controller.MemberDelta{Removed: []identifier.Upstream{"u1"}}})
	require.Equal(t, controller.NotMember, renewal(t, k.Reduce(epoch, heartbeatFrom(2))))
	k.Reduce(epoch, controller.MembersChanged{Delta: controller.MemberDelta{Members: []controller.Member{member}}})
	k.Reduce(epoch, controller.MembersChanged{Delta: controller.MemberDelta{Whole: true}})
	require.Empty(t, k.Reduce(epoch.Add(time.Hour), controller.Ticked{}))
}
