package stager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/stager"
)

// Load pattern: two releases 3 s apart, and the origin is away between them. Guards against
// engines that no entry uses until the second release has come, though the first one is there.
func TestBridgeBetweenTwoReleases(t *testing.T) {
	const rollout, copyTime = 13400 * time.Millisecond, 4300 * time.Millisecond
	named := time.Unix(1000, 0)
	bridge := func(held, newerHeld float64) stager.Bridge {
		return stager.Bridge{
			RuledOutAt:        stager.RuledOutAt(named, rollout),
			EarlierRuledOutAt: stager.RuledOutAt(named.Add(3*time.Second), rollout),
			EarlierHeld:       held, NewerHeld: newerHeld, CopyTime: copyTime,
		}
	}
	for name, c := range map[string]struct {
		bridge stager.Bridge
		after  time.Duration
		needed bool
	}{
		"the origin is there":           {bridge(0.4, 0), 3 * time.Second, false},
		"it comes back late":            {bridge(0.8, 0), 9700 * time.Millisecond, true},
		"the earlier one is whole":      {bridge(1, 0), 9700 * time.Millisecond, true},
		"the newer one is nearly there": {bridge(1, 0.95), 9700 * time.Millisecond, false},
		"little of the earlier is here": {bridge(0.1, 0), 9700 * time.Millisecond, false},
		"its time is nearly over":       {bridge(1, 0), 14 * time.Second, false},
		"the origin's rate is unknown":  {stager.Bridge{RuledOutAt: named, EarlierRuledOutAt: named.Add(time.Minute), EarlierHeld: 1}, 0, false},
	} {
		require.Equal(t, c.needed, c.bridge.IsNeeded(named.Add(c.after)), name)
	}
}
