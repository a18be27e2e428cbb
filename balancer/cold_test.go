package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// minColdSends is the use of 17 upstreams in 3 s of coldness: 5 requests a second each.
const minColdSends = 17 * 3 * 5

// Guards against the rule FAILBACK at 668 requests a second on 52 upstreams, 17 of which come
// back together cold for 3 s: the sum over 3 to 40 entries that hear of it at different times,
// some of which restart, with the rest of the load elsewhere or refused, stays under what a
// cold upstream bears in one second (26 x 1.5 + 5). Without restarts they are used.
func TestColdUpstreamsGetNoMoreThanTheyBear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		restarts := rapid.IntRange(0, 3).Draw(t, "restarts")
		if sends := playCold(t, restarts); restarts == 0 {
			require.Greater(t, sends, minColdSends, "cold upstreams are used")
		}
	})
}

// Guards against cold upstreams that are left unused under the same load because entries
// restart.
func TestColdUpstreamsAreUsedWhileEntriesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.Greater(t, playCold(t, rapid.IntRange(1, 3).Draw(t, "restarts")), minColdSends, "cold upstreams are used")
	})
}

// playCold plays the load of these tests, requires the bound and returns how many requests the
// cold upstreams got.
func playCold(t *rapid.T, restarts int) int {
	const step, rate, bound = 20 * time.Millisecond, 668, 44
	line := newTimeline(step)
	n := rapid.SampledFrom([]int{3, 20, 40}).Draw(t, "entries")
	alone := rapid.Bool().Draw(t, "all others leave")
	busy := rapid.Bool().Draw(t, "turn cold while busy")
	var listed []balancer.Entry
	var views []balancer.UpstreamView
	for i := range n {
		listed = append(listed, balancer.Entry{Name: identifier.Instance(fmt.Sprint("e", i)), AvailabilityZone: identifier.AvailabilityZone(fmt.Sprint(i % 3))})
	}
	for i := range 52 {
		v := upstream(identifier.Upstream(fmt.Sprint("u", i)), "drafting")
		v.Slots, v.AvailabilityZone = 12, identifier.AvailabilityZone(fmt.Sprint(i%3))
		views = append(views, v)
	}
	back := 0
	current := func() []balancer.UpstreamView {
		var list []balancer.UpstreamView
		for i, v := range views {
			if i%3 != 2 || back > 0 || busy {
				list = append(list, v)
			}
		}
		return list
	}
	entries := make([]*balancer.Reducer, n)
	begin := func(i int) {
		entries[i] = balancer.New(balancer.Config{Entry: listed[i].Name, AvailabilityZone: listed[i].AvailabilityZone, ColdOverage: 1.5, ColdAllowance: 5})
		entries[i].Reduce(line.now, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine(), ColdRate: 26}}})
		entries[i].Reduce(line.now, balancer.UpstreamsChanged{Upstreams: current()})
		entries[i].Reduce(line.now, balancer.EntriesChanged{Entries: listed})
	}
	for i := range n {
		begin(i)
	}
	sends := make(map[identifier.Upstream][]time.Time)
	var coldSince time.Time
	serial, coldSends := 0, 0
	play := func(d time.Duration) {
		for end := line.now.Add(d); line.now.Before(end); {
			line.advance()
			for range int(rate * step / time.Second) {
				serial++
				random := limiter.SplitMix64(uint64(serial))
				r := entries[random%uint64(n)]
				q := generationRequest(identifier.RequestID(fmt.Sprint(serial)))
				q.Random = random
				sent, ok := arrive(r, line.now, q).(balancer.Send)
				if !ok {
					continue
				}
				if sent.Target.AvailabilityZone == "2" && !coldSince.IsZero() {
					sends[sent.Target.Upstream] = append(sends[sent.Target.Upstream], line.now)
					coldSends++
				}
				line.after(900*time.Millisecond, func() {
					r.Reduce(line.now, balancer.ResponseStarted{Request: q.ID, Status: 200})
					r.Reduce(line.now, balancer.ResponseCompleted{Request: q.ID})
				})
			}
		}
	}
	play(3 * time.Second)
	back, coldSince = 1, line.now
	for i := range views {
		if i%3 == 2 {
			views[i].ColdUntil = line.now.Add(3 * time.Second)
		}
		views[i].Draining = alone && i%3 != 2
	}
	for i := range n {
		line.after(time.Duration(rapid.IntRange(1, 1700).Draw(t, "news"))*time.Millisecond, func() {
			entries[i].Reduce(line.now, balancer.UpstreamsChanged{Upstreams: current()})
		})
	}
	for range restarts {
		line.after(time.Duration(rapid.IntRange(1, 2900).Draw(t, "at"))*time.Millisecond, func() { begin(rapid.IntRange(0, n-1).Draw(t, "entry")) })
	}
	play(3 * time.Second)
	for name, times := range sends {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			require.LessOrEqual(t, i-first+1, bound, name)
		}
	}
	return coldSends
}
