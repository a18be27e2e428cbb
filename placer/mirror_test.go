package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/parser"
)

// Guards against mirrors that skip each other for too long after an outage of the
// origin. Load pattern: the origin is down in the middle of a release. Mirrors whose
// chunks wait for it look stalled to the others, which skip them for a while. When the
// origin is back, they must be asked again early enough for the rest of the release. The
// shortest time for a release on the platform is 8 s, of which a third may be lost in
// this way.
func TestMirrorsAreAskedAgainSoon(t *testing.T) {
	const within = 8 * time.Second
	cfg := mirrorConfig(parser.Placement{}, 1<<20)
	require.LessOrEqual(t, cfg.ProgressDeadline+cfg.EjectionTime, within/3)
}
