package stager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/declarer"
	"celeryvalve/stager"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// held returns the event that release 2 became wanted at the start and that all of its
// chunks are here.
func held() stager.Wanted {
	return stager.Wanted{Model: "m", Release: 2, Held: true, HeldFraction: 1, WantedSince: start}
}

func serving(release declarer.ReleaseNumber, orders uint64, turn stager.RolloutPosition) stager.Observed {
	return stager.Observed{Report: stager.Report{Model: "m", Release: release, Orders: orders}, Position: turn}
}

func newReducer() *stager.Reducer {
	return stager.New(stager.Config{RolloutTime: 8 * time.Second})
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	r := newReducer()
	require.Equal(t, []stager.Effect{stager.Announce{}}, r.Reduce(at(0), serving(0, 0, stager.RolloutPosition{})))
	require.Equal(t, []stager.Effect{stager.Stage{Release: 2}}, r.Reduce(at(0), held()))
	require.Equal(t, []stager.Effect{stager.Order{Model: "m", Release: 2}}, r.Reduce(at(100*time.Millisecond), stager.Staged{Release: 2, Verified: true}))
	require.Equal(t, []stager.Effect{stager.Verify{Release: 2}}, r.Reduce(at(200*time.Millisecond), stager.Ordered{Outcome: stager.Begun}))
	r.Reduce(at(300*time.Millisecond), stager.Verified{Release: 2})
	require.Equal(t, []stager.Effect{stager.Announce{Release: 2}}, r.Reduce(at(time.Second), serving(2, 1, stager.RolloutPosition{})))
}

// Entries learn that an engine takes no new requests before the order comes: a request
// that reaches a loading engine waits until it has loaded.
func TestEngineIsAnnouncedBeforeItsOrder(t *testing.T) {
	r := newReducer()
	r.Reduce(at(0), serving(1, 0, stager.RolloutPosition{Engines: 3}))
	effects := r.Reduce(at(2*time.Second), held())
	require.Equal(t, []stager.Effect{stager.Announce{}, stager.Stage{Release: 2}}, effects)
}

// Load pattern: a release comes into force under load. Engines of later waves serve until
// the waves before are done, or until the start of their own wave.
func TestEnginesLoadInTurns(t *testing.T) {
	r := newReducer()
	second := stager.RolloutPosition{Engines: 6, Rank: 4, Outdated: []int{0, 1, 3}}
	r.Reduce(at(0), serving(1, 0, second))
	require.Empty(t, r.Reduce(at(2*time.Second), held()), "the first wave is not done")
	second.Outdated = []int{1}
	require.NotEmpty(t, r.Reduce(at(2500*time.Millisecond), serving(1, 0, second)), "the first wave is done")

	r = newReducer()
	last := stager.RolloutPosition{Engines: 6, Rank: 5, Outdated: []int{0, 1, 2, 3, 4}}
	r.Reduce(at(0), serving(1, 0, last))
	require.Empty(t, r.Reduce(at(5*time.Second), held()))
	require.NotEmpty(t, r.Reduce(at(6*time.Second), serving(1, 0, last)), "the start of its own wave has come")

	// All engines swapped at once when a release came late while control replicas started.
	r = newReducer()
	r.Reduce(at(0), serving(1, 0, last))
	late := held()
	late.TimedSince = at(5 * time.Second)
	require.Empty(t, r.Reduce(at(8*time.Second), late), "control has just settled")
	require.NotEmpty(t, r.Reduce(at(11*time.Second), serving(1, 0, last)))

	// Entries refused the old release while engines waited, as a replica had started later.
	r = newReducer()
	r.Reduce(at(0), serving(1, 0, last))
	r.Reduce(at(6700*time.Millisecond), stager.Wanted{Model: "m", Release: 2, WantedSince: start})
	r.Reduce(at(6900*time.Millisecond), stager.Wanted{Model: "m", Release: 2, WantedSince: start})
	require.NotEmpty(t, r.Reduce(at(8*time.Second), late), "the time was over before")
}

// Load pattern: a release for 204 engines arrives 3.7 s after its naming. The second wave used
// to start 4.3 s after the naming, so that two thirds of the engines were out at once.
func TestLateReleaseDoesNotOverlapWaves(t *testing.T) {
	const engines, arrival = 204, 3700 * time.Millisecond
	first := make([]int, engines/3)
	for i := range first {
		first[i] = 3 * i
	}
	r := stager.New(stager.Config{RolloutTime: 10300 * time.Millisecond})
	second := stager.RolloutPosition{Engines: engines, Rank: 1, Outdated: first}
	r.Reduce(at(0), serving(1, 0, second))
	require.Empty(t, r.Reduce(at(arrival), held()))
	require.Empty(t, r.Reduce(at(arrival+1500*time.Millisecond), serving(1, 0, second)), "the first wave is still out")

	second.Outdated = first[:6]
	require.NotEmpty(t, r.Reduce(at(arrival+1600*time.Millisecond), serving(1, 0, second)), "a few stragglers hold up no wave")
}

// However late a release arrives, all waves have begun a swap before entries refuse the old one.
func TestWavesFitTheRolloutTime(t *testing.T) {
	for _, rollout := range []time.Duration{3 * time.Second, 8 * time.Second, 10300 * time.Millisecond} {
		for rank := range 3 {
			r := stager.New(stager.Config{RolloutTime: rollout})
			r.Reduce(at(0), serving(1, 0, stager.RolloutPosition{Engines: 3, Rank: rank, Outdated: []int{0, 1, 2}}))
			require.NotEmpty(t, r.Reduce(at(rollout-1200*time.Millisecond), held()), "rank %d of %v", rank, rollout)
		}
	}
}

func TestSpoiltChunksGiveNoOrder(t *testing.T) {
	r := newReducer()
	r.Reduce(at(0), serving(0, 0, stager.RolloutPosition{}))
	r.Reduce(at(0), held())
	require.Empty(t, r.Reduce(at(time.Second), stager.Staged{Release: 2}))
	require.Equal(t, []stager.Effect{stager.Stage{Release: 2}}, r.Reduce(at(2*time.Second), serving(0, 0, stager.RolloutPosition{})))
}

func TestLostOrderIsNotGivenTwice(t *testing.T) {
	r := newReducer()
	r.Reduce(at(0), serving(0, 3, stager.RolloutPosition{}))
	r.Reduce(at(0), held())
	r.Reduce(at(0), stager.Staged{Release: 2, Verified: true})
	r.Reduce(at(time.Second), stager.Ordered{Outcome: stager.Unanswered})
	loading := stager.Observed{Report: stager.Report{Busy: true, Orders: 4}}
	require.Empty(t, r.Reduce(at(2*time.Second), loading), "the order has begun")
}

func TestRestartedEngineLoadsAgain(t *testing.T) {
	r := newReducer()
	r.Reduce(at(0), held())
	r.Reduce(at(0), serving(2, 5, stager.RolloutPosition{}))
	effects := r.Reduce(at(time.Second), serving(0, 0, stager.RolloutPosition{}))
	require.Equal(t, []stager.Effect{stager.Announce{}, stager.Stage{Release: 2}}, effects)
}

// For any sequence of events, an order follows a successful staging within the time for
// which that is valid, and no two orders or stagings are in progress at once.
func TestOrdersRestOnFreshChecks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReducer()
		now := start
		var wholeAt time.Time
		ordering, staging, discarding := false, false, false
		var verifying *stager.Verify
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			var event stager.Event
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				w := held()
				w.Release = declarer.ReleaseNumber(rapid.IntRange(2, 4).Draw(t, "wanted"))
				w.Held = rapid.Bool().Draw(t, "held")
				event = w
			case 1:
				o := serving(declarer.ReleaseNumber(rapid.IntRange(0, 4).Draw(t, "serves")), uint64(rapid.IntRange(0, 5).Draw(t, "orders")), stager.RolloutPosition{})
				o.Report.Busy = rapid.Bool().Draw(t, "busy")
				event = o
			case 2:
				event = stager.Unreachable{}
			case 3:
				if !staging {
					continue
				}
				staging = false
				s := stager.Staged{Release: 2, Verified: rapid.Bool().Draw(t, "whole")}
				if s.Verified {
					wholeAt = now
				}
				event = s
			case 4:
				if !ordering {
					continue
				}
				ordering = false
				event = stager.Ordered{Outcome: drawOutcome(t)}
			case 5:
				if verifying == nil {
					continue
				}
				v := stager.Verified{Release: verifying.Release, Failed: rapid.Bool().Draw(t, "failed")}
				if !v.Failed && rapid.Bool().Draw(t, "corrupt") {
					v.Corrupt = []int{3}
				}
				verifying = nil
				event = v
			case 6:
				if !discarding {
					continue
				}
				discarding = false
				event = stager.Discarded{Outcome: drawOutcome(t)}
			}
			for _, effect := range r.Reduce(now, event) {
				require.False(t, !isAnnounce(effect) && (staging || ordering || discarding || verifying != nil), "one thing at a time")
				switch e := effect.(type) {
				case stager.Stage:
					staging = true
				case stager.Verify:
					verifying = &e
				case stager.Discard:
					discarding = true
				case stager.Order:
					ordering = true
					require.LessOrEqual(t, now.Sub(wholeAt), 1500*time.Millisecond)
				}
			}
		}
	})
}

func drawOutcome(t *rapid.T) stager.Outcome {
	return rapid.SampledFrom([]stager.Outcome{stager.Refused, stager.Begun, stager.InEffect, stager.Unanswered}).Draw(t, "outcome")
}

func isAnnounce(e stager.Effect) bool {
	_, ok := e.(stager.Announce)
	return ok
}

// Load pattern: the origin fails in the middle of a release. An engine of the first wave,
// which stopped taking requests when most of the chunks were here, takes them again while
// the rest does not arrive.
func TestEngineServesOnWhileTheRestDoesNotCome(t *testing.T) {
	r := newReducer()
	first := stager.RolloutPosition{Engines: 3}
	coming := func(progress float64) stager.Wanted {
		return stager.Wanted{Model: "m", Release: 2, HeldFraction: progress, WantedSince: start}
	}
	r.Reduce(at(1900*time.Millisecond), serving(1, 0, first))
	r.Reduce(at(1900*time.Millisecond), coming(0.4))
	require.Equal(t, []stager.Effect{stager.Announce{}}, r.Reduce(at(2*time.Second), coming(0.6)))
	require.Empty(t, r.Reduce(at(2400*time.Millisecond), serving(1, 0, first)))
	require.Equal(t, []stager.Effect{stager.Announce{Release: 1}}, r.Reduce(at(3*time.Second), serving(1, 0, first)))
	require.Empty(t, r.Reduce(at(4*time.Second), coming(0.6)), "no more chunks have arrived")
	require.Equal(t, []stager.Effect{stager.Announce{}}, r.Reduce(at(5*time.Second), coming(0.7)))
}
