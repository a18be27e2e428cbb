package placer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/registrar"
	"celeryvalve/repeater"
	"celeryvalve/spreader"
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

// Guards against a last attempt to stage chunks that is never read back, so that it can't
// succeed.
func TestLastAttemptToStageCounts(t *testing.T) {
	data := []byte("chunk")
	digest := identifier.DigestOf(data)
	for corruptWrites, ok := range map[int]bool{0: true, stageAttempts - 1: true, stageAttempts: false} {
		var staged []byte
		writes := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPut:
				staged, _ = io.ReadAll(r.Body)
				if writes++; writes <= corruptWrites {
					staged = []byte("spoilt")
				}
			case staged == nil:
				w.WriteHeader(http.StatusNotFound)
			default:
				_, _ = w.Write(staged)
			}
		}))
		a := &agent{engine: platform.NewEngine(netip.MustParseAddrPort(server.Listener.Addr().String()))}
		pinned := declarer.Pinned{Number: 1, ChunkSize: 5, Digests: []identifier.Digest{digest}}
		_, err := a.stageChunks(t.Context(), target{model: "m", pinned: pinned}, map[identifier.Digest][]byte{digest: data})
		require.Equal(t, ok, err == nil, "%d corrupt writes", corruptWrites)
		require.LessOrEqual(t, writes, stageAttempts)
		server.Close()
	}
}

// Load pattern: the origin is lost in a release while engines are replaced. The new ones
// hold nothing, and would serve nothing for seconds: they load the release before the wanted
// one meanwhile.
func TestEmptyEngineLoadsTheEarlierReleaseMeanwhile(t *testing.T) {
	pin := func(n declarer.ReleaseNumber, chunk string) declarer.Pinned {
		return declarer.Pinned{Number: n, ChunkSize: 5, Digests: []identifier.Digest{identifier.DigestOf([]byte(chunk))}}
	}
	clock := clockwork.NewFakeClock()
	release := declarer.Release{
		Wanted: 2,
		Names:  []declarer.WantedRelease{{Number: 2, At: clock.Now()}},
		Pins:   []declarer.Pinned{pin(1, "old"), pin(2, "new")},
	}
	view := declarer.NewView(asserter.Strict{})
	placement := parser.Placement{Bounds: parser.PlatformLimits{ReleaseDeadline: 10 * time.Second}}
	a := &agent{
		placement: placement, view: view, clock: clock, log: zap.NewNop(),
		spreader: spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clock, zap.NewNop()),
		target:   target{model: "m", pinned: pin(2, "new")},
		earlier:  1,
	}
	a.reconciler = repeater.New(clock, time.Second, func(context.Context) {})
	a.ctx, a.cancel = context.WithCancel(t.Context())
	a.cancel()
	wanted := &pull{target: a.target, puller: newPuller(placement, 0, clock, zap.NewNop()), running: true, progressedAt: clock.Now()}
	a.pulls = map[declarer.ReleaseNumber]*pull{2: wanted}

	a.ensureFallback(release, stager.Report{})
	require.Len(t, a.pulls, 1, "the wanted release may still arrive soon")
	clock.Advance(fallbackDelay)
	a.ensureFallback(release, stager.Report{Release: 1})
	require.Len(t, a.pulls, 1, "an engine that serves needs no other release")
	a.ensureFallback(release, stager.Report{})
	require.Len(t, a.pulls, 2)
	a.work.Wait()
	require.Equal(t, stager.Wanted{Release: 2}, a.chooseGoal(stager.Report{}))
	a.pulls[1].chunks = map[identifier.Digest][]byte{identifier.DigestOf([]byte("old")): []byte("old")}
	require.Equal(t, stager.Wanted{Release: 1, Held: true, HeldFraction: 1}, a.chooseGoal(stager.Report{}))
	require.Equal(t, stager.Wanted{Release: 2}, a.chooseGoal(stager.Report{Release: 1}), "it waits for the wanted release")
	wanted.chunks = map[identifier.Digest][]byte{identifier.DigestOf([]byte("new")): []byte("new")}
	require.EqualValues(t, 2, a.chooseGoal(stager.Report{}).Release)
}

// An earlier release whose time is nearly over is not worth its transfer.
func TestEarlierReleaseIsNotPulledLate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	release := declarer.Release{
		Wanted: 2,
		Names:  []declarer.WantedRelease{{Number: 2, At: clock.Now()}},
		Pins:   []declarer.Pinned{{Number: 1}, {Number: 2}},
	}
	a := &agent{
		placement: parser.Placement{Bounds: parser.PlatformLimits{ReleaseDeadline: 10 * time.Second}}, clock: clock,
		target: target{model: "m", pinned: declarer.Pinned{Number: 2}}, earlier: 1,
		pulls: map[declarer.ReleaseNumber]*pull{2: {running: true, progressedAt: clock.Now()}},
	}
	clock.Advance(10*time.Second - fallbackMargin + time.Millisecond)
	a.ensureFallback(release, stager.Report{})
	require.Len(t, a.pulls, 1)
}
