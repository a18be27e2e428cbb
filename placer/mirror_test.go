package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/parser"
)

// Load pattern: the origin is down in the middle of a release. Mirrors whose chunks
// wait for it look stalled to the others, which pass them over for a while; when it is
// back they ask them again early enough for the rest of the release. The shortest
// time for a release on the platform is 8 s, of which a third may go on that.
func TestMirrorsAreAskedAgainSoon(t *testing.T) {
	const within = 8 * time.Second
	cfg := mirrorConfig(parser.Placement{}, 1<<20)
	require.LessOrEqual(t, cfg.ProgressDeadline+cfg.SetAside, within/3)
}
