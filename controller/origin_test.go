package controller_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/controller"
	"celeryvalve/identifier"
)

const enginePatch = `
[Models.m.Versions.v1]
Manifest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
Source = "/m"
[Services.drafting]
Kind = "Engine"
Model = "m"
Version = "v1"
Favour = "OriginBytes"
`

const totalSize identifier.ByteCount = 1000

func lease(t require.TestingT, upstream string, id uint64, first int) *controller.LeaseOrigin {
	manifest, err := identifier.ParseDigest(strings.Repeat("a", 64))
	require.NoError(t, err)
	return &controller.LeaseOrigin{
		Upstream: identifier.Upstream(upstream), Incarnation: 1, ID: id, Manifest: manifest,
		Chunks: controller.Chunks{First: first, Count: 10}, Size: 100, TotalSize: totalSize,
	}
}

func (r *replica) lease(m *controller.LeaseOrigin) *controller.OriginAnswer {
	answer, ok := r.apply(m).(*controller.OriginAnswer)
	require.True(r.t, ok)
	return answer
}

func TestOriginGivesEachChunkOfACopyOnce(t *testing.T) {
	r := newReplica(t)
	r.announce("u1", 1)
	r.announce("u2", 1)
	require.Equal(t, controller.OriginRefused, r.lease(lease(t, "u1", 1, 0)).Status)
	r.submit("p", 0, enginePatch)
	require.Equal(t, controller.OriginGranted, r.lease(lease(t, "u1", 1, 0)).Status)
	r.now = r.now.Add(controller.HeartbeatInterval)
	again := r.lease(lease(t, "u1", 1, 0))
	require.Equal(t, controller.OriginLeaseDuration-controller.HeartbeatInterval, again.LeaseDuration)
	held := r.lease(lease(t, "u2", 1, 5))
	require.Equal(t, controller.OriginHeld, held.Status)
	require.EqualValues(t, "u1", held.Holder)
	second := lease(t, "u2", 2, 0)
	second.Copy = 1
	require.Equal(t, controller.OriginRefused, r.lease(second).Status)
	require.Equal(t, controller.OriginGranted, r.lease(lease(t, "u2", 3, 10)).Status)
	require.EqualValues(t, 200, r.state.OriginUse()[0].Granted)
	unnumbered := lease(t, "u1", 0, 0)
	unnumbered.Again = true
	for range 2 {
		require.Equal(t, controller.OriginGranted, r.lease(unnumbered).Status)
	}
	require.EqualValues(t, 200, r.state.OriginUse()[0].Reserve)
}

func TestOriginReserveReplacesLostChunks(t *testing.T) {
	r := newReplica(t)
	r.announce("u1", 1)
	r.announce("u2", 1)
	r.submit("p", 0, enginePatch)
	r.lease(lease(t, "u1", 1, 0))
	lost := lease(t, "u2", 1, 0)
	lost.Again = true
	require.Equal(t, controller.OriginHeld, r.lease(lost).Status)
	r.apply(&controller.Leave{Upstream: "u1", Incarnation: 1, Gone: true})
	require.Equal(t, controller.OriginGranted, r.lease(lost).Status)
	require.Equal(t, controller.OriginGranted, r.lease(lost).Status)
	require.EqualValues(t, 100, r.state.OriginUse()[0].Reserve)
	for id := range uint64(9) {
		lost.ID = id + 2
		require.Equal(t, controller.OriginGranted, r.lease(lost).Status)
	}
	r.restart()
	lost.ID = 11
	exhausted := r.lease(lost)
	require.Equal(t, controller.OriginExhausted, exhausted.Status)
	require.Positive(t, exhausted.RetryAfter)
	require.Equal(t, totalSize, r.state.OriginUse()[0].Reserve)
	require.EqualValues(t, 100, r.state.OriginUse()[0].Granted)
	r.now = r.now.Add(controller.OriginWindow)
	require.Equal(t, controller.OriginGranted, r.lease(lost).Status)
}

func TestReturnedOriginLeaseCanBeGrantedAgain(t *testing.T) {
	r := newReplica(t)
	r.announce("u1", 1)
	r.announce("u2", 1)
	r.submit("p", 0, enginePatch)
	m := lease(t, "u1", 1, 0)
	r.lease(m)
	returned := &controller.ReturnOrigin{Upstream: "u1", Incarnation: 1, ID: m.ID, Manifest: m.Manifest, Chunks: m.Chunks}
	require.True(t, r.apply(returned).(*controller.MemberAnswer).Changed)
	require.False(t, r.apply(returned).(*controller.MemberAnswer).Changed)
	require.Zero(t, r.state.OriginUse()[0].Granted)
	require.Equal(t, controller.OriginGranted, r.lease(lease(t, "u2", 1, 0)).Status)
}
