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
	// manifestFanOut is how many members ask one member for a manifest.
	manifestFanOut = 8
	// manifestWait is how long a member keeps a request for a manifest that it is
	// still fetching itself.
	manifestWait = 3 * time.Second
	// manifestTimeout is how long a member may take to answer.
	manifestTimeout = manifestWait + time.Second
	// membersWait is how long a fetch waits to hear who else wants the manifest.
	membersWait = 500 * time.Millisecond
)

// fetchManifest asks the members before this one in an order that all compute
// alike, the nearest first, so that the origin gives each manifest about once.
// Whoever is first, or gets no answer, reads it from the origin.
func (t *Transferrer) fetchManifest(e fetcher.FetchManifest) {
	if m := t.manifest(e.Manifest); m != nil {
		t.Send(t.ctx, fetcher.ManifestArrived{Manifest: m})
		return
	}
	for _, peer := range t.manifestSources(e.Manifest) {
		if m, err := t.askManifest(peer, e.Manifest); err == nil {
			t.Send(t.ctx, fetcher.ManifestArrived{Manifest: m})
			return
		}
	}
	m, err := t.origin.manifest(t.ctx, e.Source, e.Manifest)
	if err != nil {
		t.warn("Manifest can't be fetched.", err)
		f := failureOf(err)
		t.Send(t.ctx, fetcher.ManifestFailed{Manifest: e.Manifest, Reason: f.reason, RetryAfter: f.retryAfter})
		return
	}
	t.Send(t.ctx, fetcher.ManifestArrived{Manifest: m})
}

// manifestSources returns this member's parent, the parent's and so on.
func (t *Transferrer) manifestSources(manifest identifier.Digest) []fetcher.Peer {
	peers := rankPeers(manifest, t.awaitPeers(manifest))
	self := t.cfg.Fetcher.Self.Upstream
	at := slices.IndexFunc(peers, func(p fetcher.Peer) bool { return p.Upstream == self })
	var sources []fetcher.Peer
	for at > 0 {
		at = (at - 1) / manifestFanOut
		sources = append(sources, peers[at])
	}
	return sources
}

// rankPeers orders the members by a hash of their name and the manifest.
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

// awaitPeers returns the members that want the manifest, once they are known.
func (t *Transferrer) awaitPeers(manifest identifier.Digest) []fetcher.Peer {
	limit := t.clock.After(membersWait)
	for {
		t.mu.Lock()
		peers, changed := t.peers[manifest], t.changed
		t.mu.Unlock()
		if len(peers) > 0 {
			return peers
		}
		select {
		case <-changed:
		case <-limit:
			return nil
		case <-t.ctx.Done():
			return nil
		}
	}
}

func (t *Transferrer) askManifest(peer fetcher.Peer, manifest identifier.Digest) (*verifier.Manifest, error) {
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
		return nil, explainer.New(explainer.NotFound, "the member has no manifest", "ask another one, or the origin")
	}
	t.counters.fromPeers.Add(len(answer.Data))
	return verifier.ParsePinned(answer.Data, manifest)
}

// serveManifest answers a member, at once or when the manifest has come.
func (t *Transferrer) serveManifest(ctx context.Context, s Stream, request *fetcher.ManifestRequest) {
	answer := &fetcher.ManifestAnswer{}
	if m := t.awaitManifest(ctx, request.Manifest); m != nil {
		answer.Data = m.Encode()
	}
	if t.upload.wait(ctx, len(answer.Data)) != nil {
		return
	}
	// A member that went away asks another one.
	_ = s.Send(answer)
}

func (t *Transferrer) awaitManifest(ctx context.Context, manifest identifier.Digest) *verifier.Manifest {
	limit := t.clock.After(manifestWait)
	for {
		t.mu.Lock()
		m, changed := t.manifests[manifest], t.changed
		t.mu.Unlock()
		if m != nil {
			return m
		}
		select {
		case <-changed:
		case <-limit:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
