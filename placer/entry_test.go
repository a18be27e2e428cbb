package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// An entry that starts while a release is coming into force counts its time from
// when it was named.
func TestTimeOfAReleaseOutlivesARestart(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	names := []declarer.Named{
		{Number: 2, At: started.Add(-5 * time.Second)},
		{Number: 3, At: started.Add(2 * time.Second)}, // the leader's time of day is ahead
	}
	known := namesOf(started, names, nil)
	require.Equal(t, started.Add(-5*time.Second), known[0].At)
	require.Equal(t, started, known[1].At)
	later := namesOf(started.Add(time.Second), names, known)
	require.Equal(t, known, later, "what was known keeps its time")
}

// Older weights serve until shortly before the end of the time for newer ones.
func TestOlderReleasesServeUntilTheMargin(t *testing.T) {
	require.Equal(t, 6800*time.Millisecond, expectAfter(8*time.Second))
	require.Equal(t, 9100*time.Millisecond, expectAfter(10300*time.Millisecond))
	require.Equal(t, 500*time.Millisecond, expectAfter(time.Second))
}
