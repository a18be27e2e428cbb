package fetcher

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// probe asks one member after another for a chunk that no ancestor delivers.
type probe struct {
	holder     identifier.Upstream // has the origin lease on the chunk; asked first
	candidates []Peer
	next       int
	retryAt    time.Time // no request before this time
	exhausted  bool      // no candidate holds the chunk
}

// fillWindows starts as many fetches and requests as the limits allow.
func (f *Fetcher) fillWindows(now time.Time, t *transfer) []Effect {
	if !t.active() {
		return nil
	}
	var effects []Effect
	// The stripes take turns, so that all of them advance where only a few chunks may be
	// read at once.
	first := t.nextStripe
	for i := range t.stripes {
		n := (first + i) % len(t.stripes)
		s := &t.stripes[n]
		if s.lowest == s.end {
			continue
		}
		parent, ok := t.ancestor(now, s)
		switch {
		case s.position.copyNumber != notRoot:
			effects = append(effects, f.readOrigin(now, t, n)...)
		case ok:
			s.orphanedAt = time.Time{}
			effects = append(effects, f.readLeased(now, t, s)...)
			effects = append(effects, f.requestFromAncestor(now, t, s, parent)...)
		default:
			effects = append(effects, f.handleOrphan(now, t, n)...)
		}
	}
	return append(effects, f.sendProbes(now, t)...)
}

// handleOrphan continues a stripe without an ancestor: it asks members for chunks
// that they may hold until a new list of members from control gives the stripe
// another root, and reads from the origin if that takes too long.
func (f *Fetcher) handleOrphan(now time.Time, t *transfer, n int) []Effect {
	s := &t.stripes[n]
	if s.orphanedAt.IsZero() {
		s.orphanedAt = now
	}
	if now.Sub(s.orphanedAt) >= orphanDeadlines*f.cfg.ProgressDeadline {
		return f.readOrigin(now, t, n)
	}
	f.probeMissing(t, s, f.cfg.Window)
	return nil
}

// orphanDeadlines is the number of progress deadlines after which a member without
// an ancestor reads from the origin.
const orphanDeadlines = 2

// probeMissing adds probes for the first missing chunks of a stripe, at most count.
func (f *Fetcher) probeMissing(t *transfer, s *stripe, count int) {
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

// requestFromAncestor fills the stripe's window with requests to the ancestor.
func (f *Fetcher) requestFromAncestor(now time.Time, t *transfer, s *stripe, parent Peer) []Effect {
	var effects []Effect
	for i := s.lowest; i < s.end && s.ancestorFetches < f.cfg.Window; i++ {
		if t.have.has(int(i)) {
			continue
		}
		if _, ok := t.fetches[i]; ok || now.Before(s.lease.unread[i]) {
			continue
		}
		if s.ancestorFetches == 0 {
			s.lastProgress = now
		}
		source := t.otherAncestor(now, s, i, parent)
		t.startFetch(now, i, fetch{source: Source{Peer: source.Upstream}, wait: true})
		effects = append(effects, FetchChunkFromPeer{Manifest: t.want.Manifest, Chunk: i, Peer: source, Wait: true})
	}
	return effects
}

// sendProbes requests chunks from members that are not ancestors but may hold them.
func (f *Fetcher) sendProbes(now time.Time, t *transfer) []Effect {
	if len(t.probes) == 0 {
		return nil
	}
	var effects []Effect
	for _, i := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[i]
		if t.activeProbes >= f.cfg.ProbeWindow {
			break
		}
		if _, ok := t.fetches[i]; ok || p.exhausted || now.Before(p.retryAt) {
			continue
		}
		peer, ok := f.nextCandidate(now, t, i, p)
		if !ok {
			f.endProbe(now, t, i, p)
			continue
		}
		if !f.probeLimiter.take(now, f.cfg.ProbeRate, f.cfg.ProbeBurst) {
			p.next--
			break
		}
		fromHolder := peer.Upstream == p.holder && p.next == 1
		t.startFetch(now, i, fetch{source: Source{Peer: peer.Upstream}, fromHolder: fromHolder})
		effects = append(effects, FetchChunkFromPeer{Manifest: t.want.Manifest, Chunk: i, Peer: peer, Wait: fromHolder})
	}
	return effects
}

// endProbe handles a probe that no candidate answered with the chunk. A member that
// has an ancestor requests the chunk there again; a root may now read it from the
// origin. A member with neither asks the candidates again after half a progress
// deadline, until it may read from the origin as well.
func (f *Fetcher) endProbe(now time.Time, t *transfer, i verifier.ChunkIndex, p *probe) {
	s := &t.stripes[t.stripeOf(i)]
	_, ok := t.ancestor(now, s)
	switch {
	case s.position.copyNumber != notRoot:
		p.exhausted = true
	case ok:
		delete(t.probes, i)
	case now.Sub(s.orphanedAt) >= orphanDeadlines*f.cfg.ProgressDeadline:
		p.exhausted = true
	default:
		p.next = 0
		p.retryAt = now.Add(f.cfg.ProgressDeadline / 2)
	}
}

// nextCandidate returns the next member to probe, or false if there is none left.
func (f *Fetcher) nextCandidate(now time.Time, t *transfer, i verifier.ChunkIndex, p *probe) (Peer, bool) {
	n := t.stripeOf(i)
	if p.candidates == nil {
		p.candidates = f.candidates(t, n, p.holder)
	}
	for p.next < len(p.candidates) && p.next < f.cfg.MaxProbesPerChunk {
		peer := p.candidates[p.next]
		p.next++
		if peer.Upstream != t.corruptFrom[i] && !t.isEjected(now, &t.stripes[n], peer.Upstream) {
			return peer, true
		}
	}
	return Peer{}, false
}

// candidates lists the members by how likely they hold chunks of the stripe: the
// known holder, the root of each region, the other members of this region from the
// root down, then those of other regions.
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

// recordArrival records a verified chunk, ends its fetches and answers the requests
// that wait for it.
func (f *Fetcher) recordArrival(now time.Time, t *transfer, e ChunkArrived) []Effect {
	var effects []Effect
	newlyHeld := t.markHeld(e.Chunk.Digest())
	for _, i := range t.manifest.ChunkIndices(e.Chunk.Digest()) {
		if fetch, ok := t.fetches[i]; ok && fetch.source == e.Source {
			t.endFetch(i, e.Source)
			f.recordProgress(now, t, i)
			continue
		}
		if fetch, ok := t.fetches[i]; ok {
			t.endFetch(i, fetch.source)
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		}
	}
	if !e.Source.IsOrigin() {
		t.history(e.Source.Peer).intact++
	}
	size := e.Chunk.Size()
	if e.Source.IsOrigin() {
		t.counts.fromOrigin += size
	} else {
		t.counts.fromPeers += size
	}
	effects = append(effects, f.answerWaiters(t, newlyHeld)...)
	return append(effects, f.verifyIfComplete(t)...)
}

// recordProgress records that a source of the stripe delivered a chunk.
func (f *Fetcher) recordProgress(now time.Time, t *transfer, i verifier.ChunkIndex) {
	s := &t.stripes[t.stripeOf(i)]
	t.arrivals++
	s.delays = 0
	t.lowerDeadline()
	s.arrivalsAtProgress = t.arrivals
	s.lastProgress = now
	t.lastProgress = now
}

// verifyIfComplete starts the verification of the files once every chunk is held.
func (f *Fetcher) verifyIfComplete(t *transfer) []Effect {
	if t.stage != Fetching || !t.complete() {
		return nil
	}
	t.stage = Verifying
	return []Effect{VerifyFiles{Manifest: t.want.Manifest}}
}

// checkProgress cancels fetches that exceed the progress deadline and ejects their
// sources for the stripe.
func (f *Fetcher) checkProgress(now time.Time, t *transfer) []Effect {
	var effects []Effect
	anyStalled := false
	for n := range t.stripes {
		s := &t.stripes[n]
		deadline := t.deadline(f.cfg)
		if s.ancestorFetches == 0 || now.Sub(s.lastProgress) < deadline {
			continue
		}
		idle := now.Sub(t.lastProgress) >= deadline
		if !idle && t.arrivals-s.arrivalsAtProgress < min(arrivalsBeforeStall*len(t.stripes), t.manifest.ChunkCount()/2) {
			continue
		}
		effects = append(effects, f.handleStall(now, t, s)...)
		s.lastProgress = now
		anyStalled = true
	}
	for _, i := range t.fetching() {
		fetch := t.fetches[i]
		if fetch.wait || fetch.source.IsOrigin() || now.Sub(fetch.since) < t.deadline(f.cfg) {
			continue
		}
		anyStalled = true
		t.endFetch(i, fetch.source)
		if !fetch.fromHolder {
			t.stripes[t.stripeOf(i)].ejectedUntil[fetch.source.Peer] = now.Add(f.cfg.EjectionTime)
			effects = append(effects, f.reportFailure(t, fetch.source, Stalled)...)
		}
		effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
	}
	if anyStalled {
		t.raiseDeadline(now, f.cfg)
	}
	return effects
}

// arrivalsBeforeStall is how many chunks a stripe, on average, may receive while
// another receives none, before that one counts as stalled. On a link that is only
// saturated, fewer arrive.
const arrivalsBeforeStall = 4

// handleStall cancels the stripe's fetches that wait at ancestors and ejects their
// sources for this stripe.
func (f *Fetcher) handleStall(now time.Time, t *transfer, s *stripe) []Effect {
	var effects []Effect
	reported := make(map[Source]bool)
	for i := s.lowest; i < s.end; i++ {
		fetch, ok := t.fetches[i]
		if !ok || !fetch.wait && !fetch.source.IsOrigin() {
			continue
		}
		if fetch.source.IsOrigin() {
			continue // the shell ends origin reads at their own deadline
		}
		t.endFetch(i, fetch.source)
		effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		if !reported[fetch.source] {
			reported[fetch.source] = true
			s.ejectedUntil[fetch.source.Peer] = now.Add(f.cfg.EjectionTime)
			effects = append(effects, f.reportFailure(t, fetch.source, Stalled)...)
		}
	}
	return effects
}
