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
	return stager.Wanted{Model: "m", Release: 2, Held: true, WantedSince: start}
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
	r.Reduce(at(200*time.Millisecond), stager.Ordered{Accepted: true})
	require.Equal(t, []stager.Effect{stager.Announce{Release: 2}}, r.Reduce(at(time.Second), serving(2, 1, stager.RolloutPosition{})))
}

// Entries learn that an engine takes no new requests before the order comes: a request
// that reaches a loading engine waits until it has loaded. Until its chunks are staged and
// verified it serves on, and pieces that are bad then are replaced before its turn.
func TestEngineIsAnnouncedBeforeItsOrder(t *testing.T) {
	r := newReducer()
	r.Reduce(at(0), serving(1, 0, stager.RolloutPosition{}))
	staging := []stager.Effect{stager.Stage{Release: 2}}
	require.Equal(t, staging, r.Reduce(at(2*time.Second), held()))
	require.Empty(t, r.Reduce(at(2100*time.Millisecond), stager.Staged{Release: 2}), "a piece stays bad")
	require.Equal(t, staging, r.Reduce(at(2500*time.Millisecond), serving(1, 0, stager.RolloutPosition{})))
	effects := r.Reduce(at(2600*time.Millisecond), stager.Staged{Release: 2, Verified: true})
	require.Equal(t, []stager.Effect{stager.Announce{}, stager.Stage{Release: 2}}, effects)
	effects = r.Reduce(at(2700*time.Millisecond), stager.Staged{Release: 2, Verified: true})
	require.Equal(t, []stager.Effect{stager.Order{Model: "m", Release: 2}}, effects)
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
	r.Reduce(at(time.Second), stager.Ordered{}) // the answer was lost: the order may have begun
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
		ordering, staging := false, false
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			var event stager.Event
			switch rapid.IntRange(0, 4).Draw(t, "event") {
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
				event = stager.Ordered{Accepted: rapid.Bool().Draw(t, "accepted")}
			}
			for _, effect := range r.Reduce(now, event) {
				switch effect.(type) {
				case stager.Stage:
					require.False(t, staging)
					staging = true
				case stager.Order:
					require.False(t, ordering)
					ordering = true
					require.LessOrEqual(t, now.Sub(wholeAt), 1500*time.Millisecond)
				}
			}
		}
	})
}
