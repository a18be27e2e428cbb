package fetcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/fetcher"
)

func want(v *version, favour fetcher.Favour) fetcher.Wanted {
	return fetcher.Wanted{
		Manifest: v.manifest.Digest(),
		Name:     fetcher.Name{Model: v.manifest.Model},
		Source:   "http://origin/" + string(v.manifest.Version),
		Favour:   favour,
	}
}

func TestEveryInstanceCompletesWithOneOriginCopy(t *testing.T) {
	v := randomVersion(t, 1, "1", 512)
	n := newNetwork(t, 1, fetcher.DefaultConfig(), v)
	n.start(16, want(v, fetcher.OriginBytes))
	ready := n.runUntil(4*window, n.allReady)
	t.Logf("ready %v after %v, origin %.3f, thin %.3f, control %.0f B/s", ready, n.now, n.originCopies(), n.thinCopies(), n.controlRate())
	require.True(t, ready)
	require.LessOrEqual(t, n.originCopies(), 1.02)
	require.LessOrEqual(t, n.thinCopies(), 1.05)
}

// detectionDelay is how long control takes to notice that an instance has failed.
const detectionDelay = 10 * time.Second

func TestKilledInstancesAreReplaced(t *testing.T) {
	v := randomVersion(t, 1, "1", 512)
	n := newNetwork(t, 2, fetcher.DefaultConfig(), v)
	n.start(40, want(v, fetcher.OriginBytes))
	for i := range 4 {
		n.after(time.Duration(30+20*i)*time.Second, func() {
			n.kill(n.nodes[7*i], detectionDelay)
			n.after(2*detectionDelay, func() {
				n.add(40+i, 1)
				n.after(time.Second, n.sendMembers)
			})
		})
	}
	ready := n.runUntil(4*window, n.allReady)
	t.Logf("ready %v after %v, origin %.3f, again %d", ready, n.now, n.originCopies(), n.regranted)
	require.True(t, ready)
	require.LessOrEqual(t, n.originCopies(), 1.10)
}
