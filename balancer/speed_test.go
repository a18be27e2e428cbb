package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
)

// twoEngines returns a reducer with the engines "a" and "b", and a function that sends a
// stream to one of them whose events come with the given pause.
func twoEngines() (*balancer.Reducer, func(at time.Time, target identifier.Upstream, events int, pause time.Duration)) {
	r := newEngineReducer()
	views := []balancer.UpstreamView{upstream("a", "drafting"), upstream("b", "drafting")}
	n := 0
	return r, func(at time.Time, target identifier.Upstream, events int, pause time.Duration) {
		n++
		r.Reduce(at, balancer.UpstreamsChanged{Upstreams: views})
		for _, v := range views {
			load := balancer.Load{Running: 2}
			if v.Upstream != target {
				load.Running = 40
			}
			r.Reduce(at, balancer.LoadObserved{Upstream: v.Upstream, Load: load})
		}
		q := generationRequest(identifier.RequestID(fmt.Sprint("stream", n)))
		q.Random = uint64(n)
		if sent, ok := arrive(r, at, q).(balancer.Send); !ok || sent.Target.Upstream != target {
			panic("the stream should go to the engine with room")
		}
		r.Reduce(at, balancer.ResponseStarted{Request: q.ID})
		for i := 3; i <= events; i += 3 {
			r.Reduce(at.Add(time.Duration(i-1)*pause), balancer.StreamProgressed{Request: q.ID, Events: i})
		}
		r.Reduce(at.Add(time.Duration(events)*pause), balancer.ResponseCompleted{Request: q.ID})
	}
}

// choices returns how many of 12 requests go to each of two engines that are equally full.
func choices(r *balancer.Reducer, now time.Time) map[identifier.Upstream]int {
	sent := make(map[identifier.Upstream]int)
	for i := range 12 {
		now = now.Add(200 * time.Millisecond) // the reports are newer than the request before
		for _, name := range []identifier.Upstream{"a", "b"} {
			r.Reduce(now, balancer.LoadObserved{Upstream: name, Load: balancer.Load{Running: 8}})
		}
		q := generationRequest(identifier.RequestID(fmt.Sprint("choice", i)))
		q.Random = uint64(i)
		if s, ok := arrive(r, now, q).(balancer.Send); ok {
			sent[s.Target.Upstream]++
			r.Reduce(now, balancer.CallerGone{Request: q.ID})
		}
	}
	return sent
}

// Load pattern: engines of one service that differ in speed by a factor of three all day,
// with equal numbers of requests. Guards against first bytes that come after 400 to 600 ms
// where 130 were forecast, at every seventh engine of a deployment.
func TestSlowEngineIsRankedAsSlow(t *testing.T) {
	const usual = 70 * time.Millisecond
	tests := []struct {
		name    string
		pauses  []time.Duration // of streams to "a", one a second
		wait    time.Duration   // after the last of them
		slowest int             // how many of 12 requests may go to "a" at most
		fewest  int             // and at least
	}{
		{"always slow", []time.Duration{210, 190, 220}, 0, 1, 0},
		{"as declared", []time.Duration{70, 60, 80}, 0, 10, 2},
		{"other work for half a second", []time.Duration{70, 175, 70, 60}, 0, 10, 2},
		{"slow half a minute ago", []time.Duration{210, 190, 220}, 45 * time.Second, 10, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, stream := twoEngines()
			now := start
			for _, pause := range test.pauses {
				stream(now, "b", 12, usual)
				events := 12
				if pause == 175 {
					events = 4 // what fits into half a second
				}
				stream(now, "a", events, pause*time.Millisecond)
				now = now.Add(3 * time.Second)
			}
			sent := choices(r, now.Add(test.wait))
			require.LessOrEqual(t, sent["a"], test.slowest, "%v", sent)
			require.GreaterOrEqual(t, sent["a"], test.fewest, "%v", sent)
		})
	}
}

// Load pattern: all fast engines are full. A slow one with room still takes requests, and
// no more are refused than without the measurement: its speed ranks it and admits nobody.
func TestSlowEngineWithRoomIsUsedWhereTheOthersAreFull(t *testing.T) {
	r, stream := twoEngines()
	for i := range 3 {
		stream(start.Add(time.Duration(i)*time.Second), "a", 12, 200*time.Millisecond)
	}
	require.Equal(t, []balancer.SpeedChange{{Upstream: "a", Slow: true}}, withoutSlowness(r.TakeSpeedChanges()))
	now := start.Add(4 * time.Second)
	r.Reduce(now, balancer.LoadObserved{Upstream: "a", Load: balancer.Load{Running: 2}})
	r.Reduce(now, balancer.LoadObserved{Upstream: "b", Load: balancer.Load{Running: 16, Waiting: 14}})
	sent := arrive(r, now, generationRequest("z")).(balancer.Send)
	require.Equal(t, identifier.Upstream("a"), sent.Target.Upstream)
	require.Greater(t, sent.Slowness, 1.8)
	require.Less(t, sent.Forecast, 200*time.Millisecond, "admission goes by the declared engine")
	restarted := upstream("a", "drafting")
	restarted.Incarnation = 2
	r.Reduce(now, balancer.UpstreamsChanged{Upstreams: []balancer.UpstreamView{restarted}})
	require.Equal(t, 1.0, arrive(r, now, generationRequest("y")).(balancer.Send).Slowness, "a new incarnation begins as declared")
}

func withoutSlowness(changes []balancer.SpeedChange) []balancer.SpeedChange {
	for i := range changes {
		changes[i].Slowness = 0
	}
	return changes
}
