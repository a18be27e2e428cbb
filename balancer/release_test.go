package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
)

// A release that is named while the one before it comes into force doesn't
// prolong the life of the oldest. (Found by a hunt, on trouble-3 with the seed
// 915272573121: requests began on release 1, 8.8 s after release 2 was named.)
func TestEachReleaseEndsThoseBeforeIt(t *testing.T) {
	r := balancer.New(balancer.Config{ExpectAfter: 7 * time.Second})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{
		Service: "drafting",
		Engine:  engine(),
		Named: []declarer.Named{
			{Number: 1, At: start.Add(-time.Hour)},
			{Number: 2, At: start},
			{Number: 3, At: start.Add(4 * time.Second)},
		},
	}}})
	old := upstream("old", "drafting")
	old.Release = 1
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	sent := arrive(r, start.Add(5*time.Second), generation("a"))
	require.IsType(t, balancer.Send{}, sent)
	require.Zero(t, sent.(balancer.Send).Expect)

	refused := arrive(r, start.Add(8*time.Second), generation("b"))
	require.IsType(t, balancer.Refuse{}, refused, "the time of release 2 is over")

	old.Release = 2
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	sent = arrive(r, start.Add(9*time.Second), generation("c"))
	require.Equal(t, declarer.ReleaseNumber(2), sent.(balancer.Send).Expect, "release 3 has time left")
	require.IsType(t, balancer.Refuse{}, arrive(r, start.Add(12*time.Second), generation("d")))
}
