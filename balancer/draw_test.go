package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// Load pattern: many entries, many engines that are nearly full, and reports that
// are a quarter of a second old. Guards against overloading the few engines that
// had free slots at the time of the reports, by requests from all entries at once.
func TestEntriesDontOverrunTheFewWithRoom(t *testing.T) {
	const entries, engines, withFreeSlots, requestsPerEntry = 19, 60, 6, 7
	sent := make(map[identifier.Upstream]int)
	now := start.Add(250 * time.Millisecond)
	for entry := range entries {
		r := newEngineReducer()
		var views []balancer.UpstreamView
		for i := range engines {
			views = append(views, upstream(identifier.Upstream(fmt.Sprintf("e%02d", i)), "drafting"))
		}
		r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
		for i, v := range views {
			load := balancer.Load{Running: 16, Waiting: 1, Slots: 16}
			if i < withFreeSlots {
				load = balancer.Load{Running: 12, Slots: 16}
			}
			r.Reduce(start, balancer.LoadObserved{Upstream: v.Upstream, Load: load})
		}
		for i := range requestsPerEntry {
			q := generationRequest(identifier.RequestID(fmt.Sprintf("%d-%d", entry, i)))
			q.Random = uint64(1000*entry + i)
			if s, ok := arrive(r, now, q).(balancer.Send); ok {
				sent[s.Target.Upstream]++
			}
		}
	}
	total := 0
	for name, n := range sent {
		require.LessOrEqual(t, n, 12, "%s", name)
		total += n
	}
	require.Greater(t, total, entries*requestsPerEntry/2, "most requests can be in time, with a short wait")
}

// Load pattern: engines at their limit. A fresh report of one free slot can be
// relied on. When the report is old, the slot may be taken, so the forecast must be
// longer.
func TestOldReportsAreDoubted(t *testing.T) {
	forecastAt := func(age time.Duration) time.Duration {
		r := newEngineReducer()
		r.Reduce(start, balancer.LoadObserved{Upstream: "u", Load: balancer.Load{Running: 15, Slots: 16}})
		return arrive(r, start.Add(age), generationRequest("a")).(balancer.Send).Forecast
	}
	fresh, old := forecastAt(0), forecastAt(500*time.Millisecond)
	require.Greater(t, old, fresh+50*time.Millisecond)
	require.Less(t, old, fresh+400*time.Millisecond)
}

// Load pattern: a service with few requests. All upstreams are considered, and the
// best one, which is in the entry's own region, is chosen.
func TestBestOfAllIsTakenWhereLittleComes(t *testing.T) {
	r := newEngineReducer()
	var views []balancer.UpstreamView
	for i := range 20 {
		v := upstream(identifier.Upstream(fmt.Sprintf("e%02d", i)), "drafting")
		v.Region = "far"
		if i == 7 {
			v.Region = ""
		}
		views = append(views, v)
	}
	r.Reduce(start, balancer.UpstreamsChanged{Upstreams: views})
	sent := arrive(r, start, generationRequest("a")).(balancer.Send)
	require.Equal(t, identifier.Upstream("e07"), sent.Target.Upstream)
}
