package transferrer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

const (
	// manifestFanOut is how many members request a manifest from the same member.
	manifestFanOut = 8
	// manifestHoldTimeout is how long a member holds a request for a manifest that
	// it is still fetching.
	manifestHoldTimeout = 3 * time.Second
	// manifestTimeout is how long a member may take to answer a manifest request.
	manifestTimeout = manifestHoldTimeout + time.Second
	// peersTimeout is how long a manifest fetch waits for the list of members that
	// want the manifest.
	peersTimeout = 500 * time.Millisecond
)

// fetchManifest requests the manifest from this member's ancestors in a tree that
// all members compute identically, the nearest ancestor first, so that the origin
// sends each manifest about once. The root of the tree, and a member that gets no
// answer, reads it from the origin.
func (t *Transferrer) fetchManifest(e fetcher.FetchManifest) {
	if m := t.manifest(e.Manifest); m != nil {
		t.Send(t.ctx, fetcher.ManifestArrived{Manifest: m})
		return
	}
	for _, peer := range t.manifestAncestors(e.Manifest) {
		if m, err := t.requestManifest(peer, e.Manifest); err == nil {
			t.Send(t.ctx, fetcher.ManifestArrived{Manifest: m})
			return
		}
	}
	m, err := t.origin.manifest(t.ctx, e.Source, e.Manifest)
	if err != nil {
		t.warn("Manifest can't be fetched.", err)
		f := asFetchError(err)
		t.Send(t.ctx, fetcher.ManifestFailed{Manifest: e.Manifest, Reason: f.reason, RetryAfter: f.retryAfter})
		return
	}
	t.Send(t.ctx, fetcher.ManifestArrived{Manifest: m})
}

// manifestAncestors returns this member's parent in the tree, then the parent of
// that member, and so on up to the root.
func (t *Transferrer) manifestAncestors(manifest identifier.Digest) []fetcher.Peer {
	peers := rankPeers(manifest, t.awaitPeers(manifest))
	self := t.cfg.Fetcher.Self.Upstream
	index := slices.IndexFunc(peers, func(p fetcher.Peer) bool { return p.Upstream == self })
	var ancestors []fetcher.Peer
	for index > 0 {
		index = (index - 1) / manifestFanOut
		ancestors = append(ancestors, peers[index])
	}
	return ancestors
}

// rankPeers sorts the members by a hash of the manifest and their name, an order that
// is the same on every member.
func rankPeers(manifest identifier.Digest, peers []fetcher.Peer) []fetcher.Peer {
	ranked := slices.Clone(peers)
	rank := func(p fetcher.Peer) uint64 {
		return xxhash.Sum64(append(manifest[:len(manifest):len(manifest)], p.Upstream...))
	}
	slices.SortFunc(ranked, func(a, b fetcher.Peer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Upstream, b.Upstream))
	})
	return ranked
}

// awaitPeers returns the members that want the manifest, or nil if none is known
// after peersTimeout.
func (t *Transferrer) awaitPeers(manifest identifier.Digest) []fetcher.Peer {
	timeout := t.clock.After(peersTimeout)
	for {
		t.mu.Lock()
		peers, changed := t.peers[manifest], t.changed
		t.mu.Unlock()
		if len(peers) > 0 {
			return peers
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-t.ctx.Done():
			return nil
		}
	}
}

func (t *Transferrer) requestManifest(peer fetcher.Peer, manifest identifier.Digest) (*verifier.Manifest, error) {
	ctx, cancel := context.WithTimeout(t.ctx, manifestTimeout)
	defer cancel()
	s, err := t.dialer.Open(ctx, peer.Address, &fetcher.ManifestRequest{Manifest: manifest})
	if err != nil {
		return nil, err
	}
	defer s.Cancel()
	msg, err := s.Receive(ctx)
	if err != nil {
		return nil, err
	}
	answer, ok := msg.(*fetcher.ManifestAnswer)
	if !ok || len(answer.Data) == 0 {
		return nil, explainer.New(explainer.NotFound, "the member does not have the manifest", "request it from another member or the origin")
	}
	t.counters.fromPeers.Add(len(answer.Data))
	return verifier.ParsePinned(answer.Data, manifest)
}

// serveManifest answers a manifest request. It waits up to manifestHoldTimeout for
// the manifest to arrive; if it does not, the answer is empty.
func (t *Transferrer) serveManifest(ctx context.Context, s Stream, request *fetcher.ManifestRequest) {
	answer := &fetcher.ManifestAnswer{}
	if m := t.awaitManifest(ctx, request.Manifest); m != nil {
		answer.Data = m.Encoded()
	}
	if t.uploadLimiter.wait(ctx, len(answer.Data)) != nil {
		return
	}
	// The error is ignored: a member whose stream ended asks another member.
	_ = s.Send(answer)
}

func (t *Transferrer) awaitManifest(ctx context.Context, manifest identifier.Digest) *verifier.Manifest {
	timeout := t.clock.After(manifestHoldTimeout)
	for {
		t.mu.Lock()
		m, changed := t.manifests[manifest], t.changed
		t.mu.Unlock()
		if m != nil {
			return m
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
