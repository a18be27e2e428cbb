package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// Guards against an entry that restarts while a release is being loaded and then counts
// the time for the release from its own start. The time runs from when the release was
// named, or from when the entry learned of it if the leader's clock is ahead.
func TestTimeOfAReleaseOutlivesARestart(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	names := []declarer.WantedRelease{
		{Number: 2, At: started.Add(-5 * time.Second)},
		{Number: 3, At: started.Add(2 * time.Second)}, // the leader's clock is ahead
	}
	known := localNames(started, names, nil)
	require.Equal(t, started.Add(-5*time.Second), known[0].At)
	require.Equal(t, started, known[1].At)
	later := localNames(started.Add(time.Second), names, known)
	require.Equal(t, known, later, "a known release keeps its time")
}

// Guards against entries that refuse older weights too early: those serve until
// expectMargin before the deadline of a newer release, and for at least half of its time.
func TestOlderReleasesServeUntilTheMargin(t *testing.T) {
	require.Equal(t, 6800*time.Millisecond, expectAfter(8*time.Second))
	require.Equal(t, 9100*time.Millisecond, expectAfter(10300*time.Millisecond))
	require.Equal(t, 500*time.Millisecond, expectAfter(time.Second))
}
