package placer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/stager"
)

// Guards against an agent that never pulls again: a transfer was cancelled for a release that
// the engine held already, and then the engine lost it.
func TestCancelledPullDoesNotBlockTheNext(t *testing.T) {
	digests := []identifier.Digest{identifier.DigestOf([]byte("chunk"))}
	release := func(n declarer.ReleaseNumber) declarer.Release {
		return declarer.Release{Wanted: n, Pins: []declarer.Pinned{{Number: n, ChunkSize: 5, Digests: digests}}}
	}
	view := declarer.NewView(asserter.Strict{})
	service := declarer.Service{Engine: &declarer.Engine{Slots: 1, Model: "m"}}
	require.True(t, view.Set(declarer.Declared{
		Revision:    1,
		Declaration: declarer.Declaration{Version: 1, Services: map[identifier.Service]declarer.Service{"llm": service}},
		Releases:    map[identifier.Model]declarer.Release{"m": release(2)},
	}))
	clock := clockwork.NewFakeClock()
	cancelled := false
	a := &agent{
		view: view, clock: clock, log: zap.NewNop(),
		reducer: stager.New(stager.Config{RolloutTime: time.Second}),
		target:  target{model: "m", pinned: declarer.Pinned{Number: 1}},
		pulls: map[declarer.ReleaseNumber]*pull{
			1: {running: true, cancel: func() { cancelled = true }},
		},
	}
	a.followRelease(registrar.Record{Upstream: "i-1", Service: "llm"}, stager.Report{Model: "m", Release: 2})
	require.True(t, cancelled)
	require.Empty(t, a.pulls)
}
