package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
)

// Guards against requests that begin on an old release for too long: a release that
// is named before the previous one has taken effect must not extend the use of
// those before. (Found by a randomised search, on trouble-3 with the seed
// 915272573121: requests began on release 1, 8.8 s after release 2 was named.)
func TestEachReleaseEndsThoseBeforeIt(t *testing.T) {
	r := balancer.New(balancer.Config{ReleaseGracePeriod: 7 * time.Second})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{
		Service: "drafting",
		Engine:  engine(),
		Releases: []declarer.WantedRelease{
			{Number: 1, At: start.Add(-time.Hour)},
			{Number: 2, At: start},
			{Number: 3, At: start.Add(4 * time.Second)},
		},
	}}})
	old := upstream("old", "drafting")
	old.Release = 1
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	sent := arrive(r, start.Add(5*time.Second), generationRequest("a"))
	require.IsType(t, balancer.Send{}, sent)
	require.Zero(t, sent.(balancer.Send).ExpectedRelease)

	refused := arrive(r, start.Add(8*time.Second), generationRequest("b"))
	require.IsType(t, balancer.Refuse{}, refused, "release 2 was named more than 7 s ago and rules out release 1")

	old.Release = 2
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{old}})
	sent = arrive(r, start.Add(9*time.Second), generationRequest("c"))
	require.Equal(t, declarer.ReleaseNumber(2), sent.(balancer.Send).ExpectedRelease, "release 3 was named less than 7 s ago and doesn't rule out release 2")
	require.IsType(t, balancer.Refuse{}, arrive(r, start.Add(12*time.Second), generationRequest("d")))
}
