package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// Load pattern: engines without room to spare, and reports as old as half of what a request
// takes. Guards against entries that all fill the engines which looked empty, so that a fifth
// of the requests waits there while others have free slots.
func TestFullEnginesBehindOldReports(t *testing.T) {
	for _, c := range []struct {
		demand, inTime float64
	}{{0.9, 0.97}, {0.95, 0.95}, {1, 0.85}} {
		w := newRoom(17, 55)
		w.reportAge = 500 * time.Millisecond
		s := stream{route: "r", perSecond: c.demand * 55 * roomRate}
		w.play(4*time.Second, s)
		before := *w.total
		w.play(8*time.Second, s)
		asked := float64(w.total.asked - before.asked)
		require.Greater(t, float64(w.total.inTime-before.inTime), c.inTime*asked, "demand of %v of the room", c.demand)
	}
}

// The entries of a zone attend its engines, the same number each or one more, and one that
// leaves changes few of the others' engines. Guards against two entries that both count on an
// engine, and against one that nobody uses first.
func TestEnginesAreDividedAmongTheEntriesOfTheirZone(t *testing.T) {
	const entries, engines = 5, 23
	preferred := func(n int) map[identifier.Upstream]string {
		chosen := make(map[identifier.Upstream]string)
		for i := range n {
			for _, u := range attendedBy(i, n, engines) {
				require.Empty(t, chosen[u], u)
				chosen[u] = fmt.Sprint(i)
			}
		}
		require.Len(t, chosen, engines)
		return chosen
	}
	all, fewer := preferred(entries), preferred(entries-1)
	moved := 0
	for u, entry := range all {
		if entry != fmt.Sprint(entries-1) && fewer[u] != entry {
			moved++
		}
	}
	require.LessOrEqual(t, moved, engines/4)
}

// attendedBy returns the engines that entry i of n attends: those that it asks first while all
// are idle.
func attendedBy(i, n, engines int) []identifier.Upstream {
	var listed []balancer.Entry
	for k := range n {
		listed = append(listed, balancer.Entry{Name: identifier.Instance(fmt.Sprint("e", k)), AvailabilityZone: "z"})
	}
	r := balancer.New(balancer.Config{Entry: listed[i].Name, AvailabilityZone: "z", RetryRatio: 0.2, RetryBurst: 10, ReleaseGracePeriod: time.Hour})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	var views []balancer.UpstreamView
	for k := range engines {
		v := upstream(upstreamName(fmt.Sprintf("%c%d", 'a'+k, k)), "drafting")
		v.AvailabilityZone = "z"
		views = append(views, v)
	}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	r.Reduce(start, balancer.EntriesChanged{Entries: listed})
	q := generationRequest("x")
	q.Deadline = start.Add(6 * time.Second)
	x := r.Explain(start, q)
	var list []identifier.Upstream
	for _, c := range x.Candidates {
		if c.Penalty == 0 {
			list = append(list, c.Upstream)
		}
	}
	return list
}

// BenchmarkEnginesChange is the cost of a request after the list of a thousand engines has changed,
// at one of a hundred entries.
func BenchmarkEnginesChange(b *testing.B) {
	r := balancer.New(balancer.Config{Entry: "e0", AvailabilityZone: "z", ReleaseGracePeriod: time.Hour})
	r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
	var listed []balancer.Entry
	for k := range 100 {
		listed = append(listed, balancer.Entry{Name: identifier.Instance(fmt.Sprint("e", k)), AvailabilityZone: "z"})
	}
	r.Reduce(start, balancer.EntriesChanged{Entries: listed})
	var views []balancer.UpstreamView
	for k := range 1000 {
		v := upstream(upstreamName(fmt.Sprintf("%c%d", 'a'+k%26, k)), "drafting")
		v.AvailabilityZone = "z"
		views = append(views, v)
	}
	for i := range b.N {
		r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views[:999+i%2]})
		arrive(r, start, generationRequest("x"))
	}
}
