package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// Guards against requests that begin on an old release for too long, since the time of day
// was set back after the release was named: the time for it runs on the steady clock.
func TestJumpOfTheClockDoesNotExtendARelease(t *testing.T) {
	now := time.Now()
	named := now.Add(-time.Second).Round(0) // without a reading of the steady clock, as it is received
	names := localNames(now, []declarer.WantedRelease{{Number: 2, At: named}}, nil)
	require.Contains(t, names[0].At.String(), "m=", "the time has a reading of the steady clock")
	require.InDelta(t, float64(time.Second), float64(now.Sub(names[0].At)), float64(time.Millisecond))

	again := localNames(now.Add(-2*time.Second), []declarer.WantedRelease{{Number: 2, At: named}}, names)
	require.Equal(t, names, again, "a known name keeps its time")
}

// A release that was named in the future, by a clock that is ahead, began when this process
// learned of it.
func TestReleaseBeginsWhenItIsLearned(t *testing.T) {
	now := time.Now()
	require.Equal(t, now, releaseStart(now, now.Add(time.Minute)))
}

// Guards against an engine that refuses all orders of a restarted agent, whose token is
// lower than that of its predecessor, since the time of day was set back.
func TestRefusedTokenIsRaised(t *testing.T) {
	a := &agent{token: 5}
	a.raiseToken(5)
	require.EqualValues(t, 5+tokenStep, a.token)
	a.raiseToken(5)
	require.EqualValues(t, 5+tokenStep, a.token, "a late refusal of the old token changes nothing")
}
