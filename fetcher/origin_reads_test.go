package fetcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
)

// Guards against an origin that is lost while many chunks are being read, all of which are
// read again: the members together keep to OriginReads.
func TestMembersShareTheReadsOfTheOrigin(t *testing.T) {
	const members, reads = 6, 12
	v := randomVersion(t, 1, "1", 512)
	cfg := fetcher.DefaultConfig()
	cfg.OriginReads = reads
	cfg.ReadAhead = 1 << 10
	n := newNetwork(t, 1, cfg, v)
	n.start(members, want(v, fetcher.OriginBytes))
	most := 0
	ready := n.runUntil(4*window, func() bool {
		reading := 0
		for _, node := range n.nodes {
			for key := range node.pending {
				if key.source.IsOrigin() {
					reading++
				}
			}
		}
		most = max(most, reading)
		return n.allReady()
	})
	require.True(t, ready)
	require.LessOrEqual(t, most, reads)
	require.Greater(t, most, reads/2, "the origin's link is kept busy")
}

// A release is replaced while it is read, and the digests of the newer one aren't known yet:
// the origin's link is free at once for these, and the release goes on if they don't come.
func TestPausedReleaseLeavesTheOriginAlone(t *testing.T) {
	v := randomVersion(t, 1, "1", 512)
	cfg := fetcher.DefaultConfig()
	cfg.OriginReads = 8
	cfg.ReadAhead = 1 << 10
	n := newNetwork(t, 1, cfg, v)
	n.start(6, want(v, fetcher.OriginBytes))
	reading := func() (reads int) {
		for _, node := range n.nodes {
			for key := range node.pending {
				if key.source.IsOrigin() {
					reads++
				}
			}
		}
		return reads
	}
	n.runUntil(window/8, n.allReady)
	require.NotZero(t, reading())
	for _, node := range n.nodes {
		node.reduce(fetcher.Paused{Manifest: v.manifest.Digest(), EndReads: true})
	}
	require.Zero(t, reading())
	n.runUntil(window/4, func() bool { return reading() > 0 })
	require.Zero(t, reading())
	for _, node := range n.nodes {
		node.reduce(fetcher.Resumed{Manifest: v.manifest.Digest()})
	}
	require.True(t, n.runUntil(4*window, n.allReady))
}

// TestRemovedMemberReadsNothingTwice guards against a mirror that was removed from the list
// and has not learned of it: it read a part of the release that the others read as well.
func TestRemovedMemberReadsNothingTwice(t *testing.T) {
	v := randomVersion(t, 1, "1", 96)
	removed := fetcher.Peer{Upstream: "removed", Region: "b"}
	var peers []fetcher.Peer
	for _, region := range []identifier.Region{"a", "b", "c"} {
		peers = append(peers, fetcher.Peer{Upstream: identifier.Upstream("member-" + region), Region: region})
	}
	cfg := fetcher.DefaultConfig()
	cfg.Self = removed
	f := fetcher.New(cfg, asserter.Strict{})
	now := time.Unix(1000, 0)
	f.Reduce(now, want(v, fetcher.OriginBytes))
	f.Reduce(now, fetcher.ManifestArrived{Manifest: v.manifest})
	asked := make(map[identifier.Upstream]int)
	for _, effect := range f.Reduce(now, fetcher.PeersChanged{Manifest: v.manifest.Digest(), Peers: peers}) {
		switch e := effect.(type) {
		case fetcher.RequestOriginLease:
			require.Fail(t, "it would read the origin", "%+v", e)
		case fetcher.FetchChunkFromPeer:
			asked[e.Peer.Upstream]++
		}
	}
	require.Len(t, asked, 1)
	require.NotZero(t, asked["member-b"], "it asks the root of its own region")
}

// A newer release of the same name may rest beside an older one, which goes on to its end.
func TestReleaseIsCompletedBeforeTheNewerOne(t *testing.T) {
	older, newer := randomVersion(t, 1, "1", 256), randomVersion(t, 2, "2", 256)
	n := newNetwork(t, 1, fetcher.DefaultConfig(), older, newer)
	n.start(6, want(older, fetcher.OriginBytes))
	n.runUntil(window/8, n.allReady)
	beside := want(newer, fetcher.OriginBytes)
	beside.Beside = true
	for _, node := range n.nodes {
		node.reduce(beside)
		node.reduce(fetcher.Paused{Manifest: newer.manifest.Digest()})
	}
	require.True(t, n.runUntil(4*window, n.allReady), "the older one is complete")
	n.wanted = beside
	n.sendMembers()
	for _, node := range n.nodes {
		node.reduce(fetcher.Resumed{Manifest: newer.manifest.Digest()})
	}
	require.True(t, n.runUntil(8*window, n.allReady))
	for _, node := range n.nodes {
		require.Len(t, node.f.Snapshot(n.time()), 2)
		node.reduce(want(newer, fetcher.OriginBytes))
		require.Len(t, node.f.Snapshot(n.time()), 1, "the same without Beside ends the older one")
	}
}
