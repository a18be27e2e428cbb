package fetcher_test

import (
	"flag"
	"math/rand"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// runWithFault runs 24 instances with a fault and returns the network once all are ready.
func runWithFault(t *testing.T, favour fetcher.Favour, within time.Duration, fault func(*network)) *network {
	n := newNetwork(t, 3, fetcher.DefaultConfig(), randomVersion(t, 1, "1", 512), randomVersion(t, 2, "2", 512))
	for _, v := range n.versions {
		if v.manifest.Version == "1" {
			n.start(24, want(v, favour))
		}
	}
	fault(n)
	ready := n.runUntil(within, n.allReady)
	t.Logf("ready %v after %.3f windows, origin %.3f, again %d", ready, n.now.Seconds()/window.Seconds(), n.originCopies(), n.regranted)
	require.True(t, ready)
	return n
}

func TestCorruptChunksAreFetchedElsewhere(t *testing.T) {
	n := runWithFault(t, fetcher.TimeToReplicas, window, func(n *network) { n.corruptFraction = 0.01 })
	require.LessOrEqual(t, n.originCopies(), 4.0)
	n = runWithFault(t, fetcher.OriginBytes, window*3/2, func(n *network) { n.corruptFraction = 0.01 })
	require.LessOrEqual(t, n.originCopies(), 1.10)
}

func TestCorruptPeerIsSetAside(t *testing.T) {
	n := runWithFault(t, fetcher.OriginBytes, window*3/2, func(n *network) {
		n.after(time.Second, func() { n.nodes[1].corrupts = true })
	})
	blamed := 0
	for _, nd := range n.nodes {
		count := 0
		for _, e := range nd.effects {
			if b, ok := e.(fetcher.ReportSourceFailure); ok && b.Reason == fetcher.Corrupt {
				require.Equal(t, n.nodes[1].peer.Upstream, b.Source.Peer)
				count++
			}
		}
		require.LessOrEqual(t, count, 2*n.cfg.Stripes*n.cfg.Window, "a corrupt peer is not asked any more")
		blamed += count
	}
	require.Positive(t, blamed)
	require.LessOrEqual(t, n.originCopies(), 1.10)
}

func TestStalledInstanceLosesItsPlace(t *testing.T) {
	n := runWithFault(t, fetcher.OriginBytes, window*3/2, func(n *network) {
		n.after(40*time.Second, func() { n.nodes[0].frozen = true })
		n.after(window, func() { n.nodes[0].alive = false })
	})
	require.LessOrEqual(t, n.originCopies(), 1.10)
}

func TestVersionChangeCancelsAndReuses(t *testing.T) {
	data := make([]byte, 64*512)
	_, _ = rand.New(rand.NewSource(1)).Read(data)
	old := newVersion(t, "1", fstest.MapFS{"w": {Data: data}}, 64)
	changed := append([]byte(nil), data...)
	for i := range len(data) / 4 {
		changed[i] ^= 0x55
	}
	next := newVersion(t, "2", fstest.MapFS{"w": {Data: changed}}, 64)
	n := newNetwork(t, 3, fetcher.DefaultConfig(), old, next)
	n.start(24, want(old, fetcher.OriginBytes))
	n.after(100*time.Second, func() { n.changeVersion(want(next, fetcher.OriginBytes)) })
	require.True(t, n.runUntil(2*window, n.allReady))
	for _, nd := range n.nodes {
		progress := nd.f.Snapshot(n.time())
		require.Len(t, progress, 1, "the older transfer is gone")
		require.Positive(t, progress[0].Reused)
		require.Len(t, nd.stored, len(next.data), "chunks of the older version are dropped")
	}
}

func TestOriginGoneHalfWay(t *testing.T) {
	n := runWithFault(t, fetcher.OriginBytes, 2*window, func(n *network) {
		n.after(30*time.Second, func() { n.originUp = false })
		n.after(120*time.Second, func() { n.originUp = true })
	})
	require.LessOrEqual(t, n.originCopies(), 1.02)
}

func TestLostControlKeepsTheBudget(t *testing.T) {
	n := runWithFault(t, fetcher.OriginBytes, 2*window, func(n *network) {
		n.after(20*time.Second, func() { n.controlUp, n.membersUp = false, false })
		n.after(150*time.Second, n.clearFaults)
	})
	require.LessOrEqual(t, n.originCopies(), 1.02)
}

func TestLateJoinerFinishes(t *testing.T) {
	n := runWithFault(t, fetcher.OriginBytes, 2*window, func(n *network) {
		n.after(100*time.Second, func() { n.startReplacement(0) })
		n.after(200*time.Second, func() { n.startReplacement(0) })
	})
	require.Len(t, n.nodes, 26)
	require.LessOrEqual(t, n.originCopies(), 1.02)
}

// single is one fetcher that gets its events from the test.
type single struct {
	t   *testing.T
	f   *fetcher.Fetcher
	now time.Time
}

func newSingle(t *testing.T, cfg fetcher.Config) *single {
	cfg.Self = fetcher.Peer{Upstream: "self"}
	return &single{t: t, f: fetcher.New(cfg, asserter.Strict{}), now: time.Unix(1000, 0)}
}

func (s *single) reduce(events ...fetcher.Event) []fetcher.Effect {
	var effects []fetcher.Effect
	for _, e := range events {
		effects = append(effects, s.f.Reduce(s.now, e)...)
	}
	return effects
}

// holdAll makes the fetcher hold every chunk of the version.
func (s *single) holdAll(v *version, priority fetcher.Priority) {
	w := want(v, fetcher.OriginBytes)
	w.Name.Model, w.Priority = identifier.Model(v.manifest.Version), priority
	s.reduce(w, fetcher.ManifestArrived{Manifest: v.manifest})
	for digest, data := range v.data {
		chunk, err := verifier.VerifyBytes(digest, data)
		require.NoError(s.t, err)
		s.reduce(fetcher.ChunkRestored{Chunk: chunk})
	}
}

func TestSmallTransferIsNotStuckBehindALargeOne(t *testing.T) {
	cfg := fetcher.DefaultConfig()
	cfg.Uploads = 1
	s := newSingle(t, cfg)
	large, small := randomVersion(t, 1, "1", 100), randomVersion(t, 2, "2", 4)
	s.holdAll(large, 0)
	s.holdAll(small, 0)
	var sent []identifier.Digest
	var apply func(effects []fetcher.Effect)
	apply = func(effects []fetcher.Effect) {
		for _, e := range effects {
			if e, ok := e.(fetcher.SendChunk); ok {
				sent = append(sent, e.Manifest)
				if len(sent) > 1 {
					apply(s.reduce(fetcher.RequestEnded{Request: e.Request}))
				}
			}
		}
	}
	for i := range 104 {
		v, chunk := large, i
		if i >= 100 {
			v, chunk = small, i-100
		}
		apply(s.reduce(fetcher.ChunkRequested{
			Request: fetcher.RequestID(i), Manifest: v.manifest.Digest(), Chunk: verifier.ChunkIndex(chunk), Peer: "p", Wait: true,
		}))
	}
	apply(s.reduce(fetcher.RequestEnded{Request: 0}))
	require.Len(t, sent, 104)
	smallCount := 0
	for _, m := range sent[:12] {
		if m == small.manifest.Digest() {
			smallCount++
		}
	}
	require.Equal(t, 4, smallCount, "the small transfer takes turns with the large one")
}

func TestTransfersWaitForSpace(t *testing.T) {
	cfg := fetcher.DefaultConfig()
	first, second := randomVersion(t, 1, "1", 8), randomVersion(t, 2, "2", 8)
	cfg.StoreLimit = first.manifest.Size()
	s := newSingle(t, cfg)
	s.holdAll(first, 0)
	w := want(second, fetcher.OriginBytes)
	w.Name.Model = "other"
	s.reduce(w, fetcher.ManifestArrived{Manifest: second.manifest})
	require.Equal(t, fetcher.WaitingForSpace, s.f.Snapshot(s.now)[1].Stage)
	s.reduce(fetcher.Cancelled{Manifest: first.manifest.Digest()})
	require.Equal(t, fetcher.Fetching, s.f.Snapshot(s.now)[0].Stage)
	w = want(randomVersion(t, 3, "3", 9), fetcher.OriginBytes)
	w.Name.Model = "large"
	effects := s.reduce(w, fetcher.ManifestArrived{Manifest: randomVersion(t, 3, "3", 9).manifest})
	require.IsType(t, fetcher.Failed{}, effects[len(effects)-1])
}

func TestPausedTransferAsksForNothing(t *testing.T) {
	s := newSingle(t, fetcher.DefaultConfig())
	v := randomVersion(t, 1, "1", 8)
	m := v.manifest.Digest()
	s.reduce(want(v, fetcher.OriginBytes), fetcher.PeersChanged{Manifest: m}, fetcher.Paused{Manifest: m})
	effects := s.reduce(fetcher.ManifestArrived{Manifest: v.manifest}, fetcher.Ticked{})
	require.Empty(t, effects)
	require.IsType(t, fetcher.RequestOriginLease{}, s.reduce(fetcher.Resumed{Manifest: m})[0])
}

func TestRateLimitIsObeyedAndTheLeaseKept(t *testing.T) {
	s := newSingle(t, fetcher.DefaultConfig())
	v := randomVersion(t, 1, "1", 1)
	m := v.manifest.Digest()
	s.reduce(want(v, fetcher.OriginBytes), fetcher.PeersChanged{Manifest: m}, fetcher.ManifestArrived{Manifest: v.manifest})
	grant := fetcher.OriginLeaseAnswered{
		Manifest: m, Chunks: fetcher.Range{Count: 1}, Granted: true, Expires: s.now.Add(time.Hour),
	}
	read := s.reduce(grant)
	require.IsType(t, fetcher.FetchChunkFromOrigin{}, read[0])
	limited := fetcher.ChunkFailed{Manifest: m, Source: fetcher.Origin, Reason: fetcher.RateLimited, RetryAfter: time.Minute}
	require.Empty(t, s.reduce(limited, fetcher.Ticked{}))
	s.now = s.now.Add(59 * time.Second)
	require.Empty(t, s.reduce(fetcher.Ticked{}))
	s.now = s.now.Add(time.Second)
	require.Equal(t, read, s.reduce(fetcher.Ticked{}))
}

func TestBudgetsYieldToLiveRequests(t *testing.T) {
	s := newSingle(t, fetcher.DefaultConfig())
	full := fetcher.DefaultConfig().UploadRate
	slow := fetcher.DelayMeasured{Delay: time.Second}
	require.Equal(t, full/2, s.reduce(slow)[0].(fetcher.SetBudgets).Upload)
	require.Empty(t, s.reduce(slow), "at most one change per interval")
	s.now = s.now.Add(time.Second)
	require.Equal(t, full/4, s.reduce(slow)[0].(fetcher.SetBudgets).Upload)
	for range 8 {
		s.now = s.now.Add(time.Second)
		s.reduce(fetcher.DelayMeasured{})
	}
	require.Empty(t, s.reduce(fetcher.DelayMeasured{}))
}

// TestRandomRunsCompleteOnceFaultsStop injects random faults. The reducers assert
// VerifiedWeights and OriginBudget, and the network checks that no chunk is read without
// an unused lease.
func TestRandomRunsCompleteOnceFaultsStop(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		chunks := rapid.IntRange(64, 160).Draw(r, "chunks")
		first, second := randomVersion(t, 1, "1", chunks), randomVersion(t, 2, "2", chunks)
		cfg := fetcher.DefaultConfig()
		cfg.Stripes = rapid.SampledFrom([]int{1, 4, 16}).Draw(r, "stripes")
		n := newNetwork(r, rapid.Int64().Draw(r, "seed"), cfg, first, second)
		favour := rapid.SampledFrom([]fetcher.Favour{fetcher.OriginBytes, fetcher.TimeToReplicas}).Draw(r, "favour")
		count := rapid.IntRange(1, 20).Draw(r, "instances")
		n.start(count, want(first, favour))
		for range rapid.IntRange(0, 10).Draw(r, "faults") {
			at := time.Duration(rapid.IntRange(0, 300).Draw(r, "at")) * time.Second
			nd := n.nodes[rapid.IntRange(0, count-1).Draw(r, "instance")]
			fault := rapid.SampledFrom([]string{
				"kill", "freeze", "corrupt", "noise", "origin", "control", "members", "second", "first",
			}).Draw(r, "fault")
			n.after(at, func() {
				switch fault {
				case "kill":
					n.kill(nd, detectionDelay)
					n.startReplacement(2 * detectionDelay)
				case "freeze":
					nd.frozen = !nd.frozen
				case "corrupt":
					nd.corrupts = !nd.corrupts
				case "noise":
					n.corruptFraction = 0.05
				case "origin":
					n.originUp = !n.originUp
				case "control":
					n.controlUp = !n.controlUp
				case "members":
					n.membersUp = !n.membersUp
				case "second":
					n.changeVersion(want(second, favour))
				case "first":
					n.changeVersion(want(first, favour))
				}
			})
		}
		n.after(300*time.Second, n.clearFaults)
		n.runUntil(301*time.Second, func() bool { return false })
		require.True(r, n.runUntil(6*window, n.allReady), "not ready")
	})
}
