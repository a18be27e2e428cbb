package placer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/stager"
)

// Load pattern: two releases 3 s apart, and the origin is away between them. The agent goes on
// with the first one and has its engine load it, since the second one comes too late; then it
// has the second one loaded. While the origin is there, it drops the first one at once.
func TestEarlierReleaseIsLoadedBeforeOneThatComesTooLate(t *testing.T) {
	const rollout = 13400 * time.Millisecond
	digests := make([]identifier.Digest, 96)
	pins := []declarer.Pinned{{Number: 2, ChunkSize: 24576, Digests: digests}, {Number: 3, ChunkSize: 24576, Digests: digests}}
	declaration := declarer.Declaration{Services: map[identifier.Service]declarer.Service{
		"origin": {Origin: "10.0.0.1:80", OriginRate: 547_500},
	}}
	for name, c := range map[string]struct {
		pinnedAfter time.Duration // since the second release was named
		held        int
		kept        bool
	}{
		"the origin was away":  {6700 * time.Millisecond, 80, true},
		"the origin was there": {200 * time.Millisecond, 45, false},
		"little has come":      {6700 * time.Millisecond, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			named := clock.Now()
			release := declarer.Release{Wanted: 3, Pins: pins, Names: []declarer.WantedRelease{
				{Number: 1, At: named.Add(-time.Hour)}, {Number: 2, At: named}, {Number: 3, At: named.Add(3 * time.Second)},
			}}
			clock.Advance(3*time.Second + c.pinnedAfter)
			cancelled := false
			placement := parser.Placement{Bounds: parser.PlatformLimits{ReleaseDeadline: rollout}}
			pulled := func(pinned declarer.Pinned, held int) *pull {
				return &pull{target: target{pinned: pinned}, puller: newPuller(placement, 0, clock, zap.NewNop()),
					running: true, held: held, cancel: func() { cancelled = true }}
			}
			a := &agent{placement: placement, clock: clock, log: zap.NewNop(), target: target{pinned: pins[1]}, earlier: 2,
				pulls: map[declarer.ReleaseNumber]*pull{2: pulled(pins[0], c.held), 3: pulled(pins[1], 0)}}
			a.updateBridge(declaration, release, stager.Report{Release: 1})
			require.Equal(t, c.kept, !cancelled)
			require.Equal(t, c.kept, a.chooseGoal(stager.Report{Release: 1}).Release == 2)
			a.pulls[3].chunks = map[identifier.Digest][]byte{}
			a.updateBridge(declaration, release, stager.Report{Release: 1})
			require.EqualValues(t, 3, a.chooseGoal(stager.Report{Release: 1}).Release)
		})
	}
}
