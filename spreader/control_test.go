package spreader

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: control is out of reach for a time, for all processes or for this one alone.
func TestOutageOfControl(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, test := range map[string]struct {
		silentUntil float64 // after 10 s
		ledFor      time.Duration
		steadySince time.Time
	}{
		"one replica is lost":            {silentUntil: 12, ledFor: 72 * time.Second, steadySince: at(-60)},
		"all replicas restart":           {silentUntil: 12, ledFor: 500 * time.Millisecond, steadySince: at(11.5)},
		"this process is cut off":        {silentUntil: 17, ledFor: 77 * time.Second, steadySince: at(-60)},
		"replicas restart and it is cut": {silentUntil: 30, ledFor: 15 * time.Second, steadySince: at(15)},
	} {
		t.Run(name, func(t *testing.T) {
			status := ControlStatus{}.observe(at(0), time.Time{}, 0)
			require.Equal(t, ControlStatus{}, status, "none was reached yet")
			status = status.observe(at(10), at(10), 70*time.Second)
			require.Equal(t, ControlStatus{Reached: true, LastReached: at(10), SteadySince: at(-60)}, status)
			require.True(t, status.observe(at(10.5), at(10), 70*time.Second).Reached)
			lost := status.observe(at(11.5), time.Time{}, 0)
			require.Equal(t, ControlStatus{LastReached: at(10), SteadySince: at(-60)}, lost)
			back := at(test.silentUntil)
			require.Equal(t, ControlStatus{Reached: true, LastReached: back, SteadySince: test.steadySince}, lost.observe(back, back, test.ledFor))
		})
	}

	var replica replicaStatus
	for _, update := range []struct{ at, ago, startedAt float64 }{
		{at: 10, ago: 70, startedAt: -60},
		{at: 12, startedAt: -60},          // an older program doesn't tell
		{at: 14, ago: 71, startedAt: -60}, // delayed
		{at: 16, ago: 2, startedAt: 14},
		{at: 17, ago: 3.5, startedAt: 13.5},
	} {
		replica.noteStart(at(update.at), time.Duration(update.ago*float64(time.Second)))
		require.Equal(t, at(update.startedAt), replica.startedAt)
	}
	s := &Spreader{startedAt: at(1), statuses: map[netip.AddrPort]replicaStatus{{}: replica}}
	require.Equal(t, at(13.5), s.lastStart())
	s.ownReplicas, s.startedAt = &Replicas{}, at(20)
	require.Equal(t, at(20), s.lastStart(), "this process is a replica itself")
	s.startedAt = at(1)
	require.Equal(t, at(1), s.startFor(&sentState{includeLoads: true}), "no word of others comes back to them")
	require.Equal(t, at(13.5), s.startFor(&sentState{}))

	var led ledSpan
	led.set(at(0), false)
	require.Zero(t, led.duration(at(1)))
	led.set(at(1), true)
	led.set(at(5), false)
	led.set(at(7), true)
	require.Equal(t, 9*time.Second, led.duration(at(10)), "an election is no outage")
	led.set(at(10), false)
	led.set(at(13), true)
	require.Equal(t, time.Second, led.duration(at(14)))
}
