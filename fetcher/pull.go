package fetcher

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// probe asks one member after the other for a chunk that no ancestor brings.
type probe struct {
	holder     identifier.Upstream // asked first
	candidates []Peer
	next       int
	after      time.Time
	exhausted  bool // no candidate holds the chunk
}

// pump asks for as many chunks as the windows allow.
func (f *Fetcher) pump(now time.Time, t *transfer) []Effect {
	if !t.active() {
		return nil
	}
	var effects []Effect
	for n := range t.stripes {
		s := &t.stripes[n]
		if s.lowest == s.end {
			continue
		}
		parent, ok := t.ancestor(now, s)
		switch {
		case s.place.copyNumber != notRoot:
			effects = append(effects, f.origin(now, t, n)...)
		case ok:
			s.orphaned = time.Time{}
			effects = append(effects, f.readLeased(now, t, s)...)
			effects = append(effects, f.ask(now, t, s, parent)...)
		default:
			effects = append(effects, f.orphan(now, t, n)...)
		}
	}
	return append(effects, f.pull(now, t)...)
}

// orphan goes on without an ancestor: it asks members for what they may hold
// until control has named a new root, and the origin once that takes too long.
func (f *Fetcher) orphan(now time.Time, t *transfer, n int) []Effect {
	s := &t.stripes[n]
	if s.orphaned.IsZero() {
		s.orphaned = now
	}
	if now.Sub(s.orphaned) >= orphanDeadlines*f.cfg.ProgressDeadline {
		return f.origin(now, t, n)
	}
	f.probeNext(t, s, f.cfg.Window)
	return nil
}

// orphanDeadlines is after how many progress deadlines a member without an
// ancestor turns to the origin.
const orphanDeadlines = 2

// probeNext probes for the first missing chunks of a stripe.
func (f *Fetcher) probeNext(t *transfer, s *stripe, count int) {
	for i := s.lowest; i < s.end && count > 0; i++ {
		if t.have.has(int(i)) {
			continue
		}
		count--
		if t.probes[i] == nil {
			t.probes[i] = &probe{}
		}
	}
}

// ask fills the stripe's window with requests to the ancestor.
func (f *Fetcher) ask(now time.Time, t *transfer, s *stripe, parent Peer) []Effect {
	var effects []Effect
	for i := s.lowest; i < s.end && s.waiting < f.cfg.Window; i++ {
		if t.have.has(int(i)) {
			continue
		}
		if _, ok := t.fetches[i]; ok || now.Before(s.lease.unread[i]) {
			continue
		}
		if s.waiting == 0 {
			s.lastProgress = now
		}
		source := t.otherAncestor(now, s, i, parent)
		t.begin(now, i, fetch{source: Source{Peer: source.Upstream}, wait: true})
		effects = append(effects, FetchChunkFromPeer{Manifest: t.want.Manifest, Chunk: i, Peer: source, Wait: true})
	}
	return effects
}

// pull asks members that are not ancestors for chunks that they may hold.
func (f *Fetcher) pull(now time.Time, t *transfer) []Effect {
	if len(t.probes) == 0 {
		return nil
	}
	var effects []Effect
	for _, i := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[i]
		if t.pulls >= f.cfg.Pulls {
			break
		}
		if _, ok := t.fetches[i]; ok || p.exhausted || now.Before(p.after) {
			continue
		}
		peer, ok := f.candidate(now, t, i, p)
		if !ok {
			f.exhaust(now, t, i, p)
			continue
		}
		if !f.probes.take(now, f.cfg.ProbeRate, f.cfg.ProbeBurst) {
			p.next--
			break
		}
		patient := peer.Upstream == p.holder && p.next == 1
		t.begin(now, i, fetch{source: Source{Peer: peer.Upstream}, patient: patient})
		effects = append(effects, FetchChunkFromPeer{Manifest: t.want.Manifest, Chunk: i, Peer: peer, Wait: patient})
	}
	return effects
}

// exhaust ends a probe that no candidate answered. A member that has an
// ancestor waits there again; a root may now read the chunk from the origin.
func (f *Fetcher) exhaust(now time.Time, t *transfer, i verifier.ChunkIndex, p *probe) {
	s := &t.stripes[t.stripeOf(i)]
	_, ok := t.ancestor(now, s)
	switch {
	case s.place.copyNumber != notRoot:
		p.exhausted = true
	case ok:
		delete(t.probes, i)
	case now.Sub(s.orphaned) >= orphanDeadlines*f.cfg.ProgressDeadline:
		p.exhausted = true
	default:
		p.next = 0
		p.after = now.Add(f.cfg.ProgressDeadline / 2)
	}
}

// candidate returns the next member to probe.
func (f *Fetcher) candidate(now time.Time, t *transfer, i verifier.ChunkIndex, p *probe) (Peer, bool) {
	n := t.stripeOf(i)
	if p.candidates == nil {
		p.candidates = f.candidates(t, n, p.holder)
	}
	for p.next < len(p.candidates) && p.next < f.cfg.HolderProbes {
		peer := p.candidates[p.next]
		p.next++
		if peer.Upstream != t.avoid[i] && !t.suspected(now, &t.stripes[n], peer.Upstream) {
			return peer, true
		}
	}
	return Peer{}, false
}

// candidates lists members by how likely they hold chunks of the stripe: the
// known holder, the region's members from the root down, the other regions'.
func (f *Fetcher) candidates(t *transfer, n int, holder identifier.Upstream) []Peer {
	var first, near, far []Peer
	tr := t.plan.trees[n]
	for _, member := range tr.order {
		peer := t.plan.peers[member]
		parent := tr.parent[member]
		crosses := parent == noParent || t.plan.peers[parent].Region != peer.Region
		switch {
		case peer.Upstream == f.cfg.Self.Upstream:
		case peer.Upstream == holder:
			first = slices.Insert(first, 0, peer)
		case crosses:
			first = append(first, peer)
		case peer.Region == f.cfg.Self.Region:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	return slices.Concat(first, near, far)
}

// arrived takes in a verified chunk.
func (f *Fetcher) arrived(now time.Time, t *transfer, e ChunkArrived) []Effect {
	var effects []Effect
	fresh := t.hold(e.Chunk.Digest())
	for _, i := range t.manifest.Indices(e.Chunk.Digest()) {
		if fetch, ok := t.fetches[i]; ok && fetch.source == e.Source {
			t.end(i, e.Source)
			f.progressed(now, t, i)
			continue
		}
		if fetch, ok := t.fetches[i]; ok {
			t.end(i, fetch.source)
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		}
	}
	if !e.Source.IsOrigin() {
		t.history(e.Source.Peer).whole++
	}
	size := e.Chunk.Size()
	if e.Source.IsOrigin() {
		t.counts.fromOrigin += size
	} else {
		t.counts.fromPeers += size
	}
	effects = append(effects, f.offer(t, fresh)...)
	return append(effects, f.finish(t)...)
}

// progressed notes that a source of the stripe works.
func (f *Fetcher) progressed(now time.Time, t *transfer, i verifier.ChunkIndex) {
	s := &t.stripes[t.stripeOf(i)]
	t.arrivals++
	s.delays = 0
	t.relax()
	s.arrivals = t.arrivals
	s.lastProgress = now
	t.lastProgress = now
}

// finish has the files verified once every chunk is held.
func (f *Fetcher) finish(t *transfer) []Effect {
	if t.stage != Fetching || !t.complete() {
		return nil
	}
	t.stage = Verifying
	return []Effect{VerifyFiles{Manifest: t.want.Manifest}}
}

// checkProgress passes over sources that broke the progress deadline.
func (f *Fetcher) checkProgress(now time.Time, t *transfer) []Effect {
	var effects []Effect
	strained := false
	for n := range t.stripes {
		s := &t.stripes[n]
		deadline := t.deadline(f.cfg)
		if s.waiting == 0 || now.Sub(s.lastProgress) < deadline {
			continue
		}
		idle := now.Sub(t.lastProgress) >= deadline
		if !idle && t.arrivals-s.arrivals < arrivalsToDeadline*len(t.stripes) {
			continue
		}
		effects = append(effects, f.stalled(now, t, s)...)
		s.lastProgress = now
		strained = true
	}
	for _, i := range t.fetching() {
		fetch := t.fetches[i]
		if fetch.wait || fetch.source.IsOrigin() || now.Sub(fetch.since) < t.deadline(f.cfg) {
			continue
		}
		strained = true
		t.end(i, fetch.source)
		if !fetch.patient {
			t.stripes[t.stripeOf(i)].passedOver[fetch.source.Peer] = now.Add(f.cfg.SetAside)
			effects = append(effects, f.blame(t, fetch.source, Stalled)...)
		}
		effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
	}
	if strained {
		t.strain(now, f.cfg)
	}
	return effects
}

// arrivalsToDeadline is how many chunks of each other stripe may come before a
// silent one counts as stalled. A link that is full, not stalled, brings fewer.
const arrivalsToDeadline = 4

// stalled passes over the source of the stripe's oldest fetch for this stripe.
func (f *Fetcher) stalled(now time.Time, t *transfer, s *stripe) []Effect {
	var effects []Effect
	blamed := make(map[Source]bool)
	for i := s.lowest; i < s.end; i++ {
		fetch, ok := t.fetches[i]
		if !ok || !fetch.wait && !fetch.source.IsOrigin() {
			continue
		}
		if fetch.source.IsOrigin() {
			continue // the shell ends origin reads at their own deadline
		}
		t.end(i, fetch.source)
		effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		if !blamed[fetch.source] {
			blamed[fetch.source] = true
			s.passedOver[fetch.source.Peer] = now.Add(f.cfg.SetAside)
			effects = append(effects, f.blame(t, fetch.source, Stalled)...)
		}
	}
	return effects
}
