package fetcher

import (
	"fmt"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// lease holds which chunks of a stripe this member may read from the origin, and the
// state of its requests for more.
type lease struct {
	unread      map[verifier.ChunkIndex]time.Time // granted and not read yet, with the expiry
	spent       map[verifier.ChunkIndex]bool      // already read: another read needs a new grant
	requestedAt time.Time                         // when the pending request was made, or zero
	retryAt     time.Time                         // no lease request before this time
}

func newLease() lease {
	return lease{
		unread: make(map[verifier.ChunkIndex]time.Time),
		spent:  make(map[verifier.ChunkIndex]bool),
	}
}

// leaseAnswerDeadline is how long to wait for an answer from control before the
// lease is requested again.
const leaseAnswerDeadline = 10 * time.Second

// readOrigin reads the leased chunks of a stripe and requests a lease on further ones.
func (f *Fetcher) readOrigin(now time.Time, t *transfer, n int) []Effect {
	s := &t.stripes[n]
	var effects []Effect
	request := Range{}
	regrant := false
	unread := 0
	size := f.leaseSize(s)
	end := f.readAheadEnd(now, s)
	for i := s.lowest; i < s.end; i++ {
		if t.have.has(int(i)) {
			continue
		}
		if _, ok := t.fetches[i]; ok {
			continue
		}
		if now.Before(s.lease.unread[i]) {
			if i >= end {
				unread++
			} else if effect, ok := f.readChunk(now, t, s, i); ok {
				effects = append(effects, effect)
			} else {
				unread++
			}
			continue
		}
		if p := t.probes[i]; p != nil && !p.exhausted {
			continue
		}
		needsRegrant := s.lease.spent[i] || t.probes[i] != nil
		if request.Count == 0 {
			request = Range{First: i}
			regrant = needsRegrant
		}
		if i != request.First+verifier.ChunkIndex(request.Count) || needsRegrant != regrant || request.Count == size {
			break
		}
		request.Count++
	}
	if 2*unread < size {
		effects = append(effects, f.requestLease(now, t, s, request, regrant)...)
	}
	return effects
}

// readAheadEnd returns the first chunk that must not be read from the origin yet. A
// root reads only a little ahead of the members that wait for it, so that little is
// lost if it fails. Without such members it reads the stripe to the end.
func (f *Fetcher) readAheadEnd(now time.Time, s *stripe) verifier.ChunkIndex {
	if now.Sub(s.demandedAt) >= f.cfg.ProgressDeadline {
		return s.end
	}
	return min(s.end, max(s.demanded, s.lowest)+verifier.ChunkIndex(f.cfg.ReadAhead))
}

// readLeased reads the chunks that were granted to this member before its position
// changed and it was no longer the stripe's root: until the lease ends, no other
// member may read them. It cancels requests to peers for such chunks, since the
// ancestor may itself wait for this member.
func (f *Fetcher) readLeased(now time.Time, t *transfer, s *stripe) []Effect {
	var effects []Effect
	for i := s.lowest; i < s.end && len(s.lease.unread) > 0; i++ {
		if t.have.has(int(i)) || !now.Before(s.lease.unread[i]) {
			continue
		}
		if fetch, ok := t.fetches[i]; ok && !fetch.source.IsOrigin() {
			t.endFetch(i, fetch.source)
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		}
		if effect, ok := f.readChunk(now, t, s, i); ok {
			effects = append(effects, effect)
		}
	}
	return effects
}

// leaseSize returns how many chunks are leased at once.
func (f *Fetcher) leaseSize(s *stripe) int {
	return max(1, int(s.end-s.first)/f.cfg.LeasesPerStripe)
}

// readChunk starts to read a chunk from the origin, which uses up its lease. It
// reports false if the source can't be read now.
func (f *Fetcher) readChunk(now time.Time, t *transfer, s *stripe, i verifier.ChunkIndex) (Effect, bool) {
	if s.originReads >= f.cfg.OriginReadsPerStripe || !f.mayReadOrigin(t) || now.Before(f.originRetryAt[t.want.Source]) {
		return nil, false
	}
	expires := s.lease.unread[i]
	ok := f.asserter.Check(asserter.OriginBudget, now.Before(expires) && !s.lease.spent[i],
		fmt.Sprintf("chunk %d is read from the origin without a lease", i))
	if !ok {
		return nil, false
	}
	delete(s.lease.unread, i)
	s.lease.spent[i] = true
	t.startFetch(now, i, fetch{source: Origin, expires: expires})
	t.nextStripe = t.stripeOf(i) + 1
	return FetchChunkFromOrigin{Manifest: t.want.Manifest, Chunk: i, Source: t.want.Source, Expires: expires}, true
}

// mayReadOrigin reports whether this member's part of OriginReads has room. The part is
// that of the missing chunks that this member has to read, so that all members finish at
// about the same time.
func (f *Fetcher) mayReadOrigin(t *transfer) bool {
	if f.cfg.OriginReads == 0 {
		return true
	}
	own := 0
	for i := range t.stripes {
		if s := &t.stripes[i]; s.position.copyNumber != notRoot {
			own += t.missingIn(s)
		}
	}
	missing := t.manifest.ChunkCount() - t.held
	return t.originReads < max(1, f.cfg.OriginReads*own/max(1, missing))
}

// missingIn returns how many chunks of the stripe are not held.
func (t *transfer) missingIn(s *stripe) int {
	n := 0
	for i := s.lowest; i < s.end; i++ {
		if !t.have.has(int(i)) {
			n++
		}
	}
	return n
}

// requestLease requests a lease on the range, unless a request is pending or has to
// wait.
func (f *Fetcher) requestLease(now time.Time, t *transfer, s *stripe, r Range, regrant bool) []Effect {
	pending := !s.lease.requestedAt.IsZero() && now.Sub(s.lease.requestedAt) < leaseAnswerDeadline
	if r.Count == 0 || pending || now.Before(s.lease.retryAt) {
		return nil
	}
	s.lease.requestedAt = now
	return []Effect{RequestOriginLease{
		Manifest:  t.want.Manifest,
		Chunks:    r,
		Copy:      max(0, s.position.copyNumber),
		Size:      t.rangeSize(r),
		TotalSize: t.manifest.Size(),
		Favour:    t.want.Favour,
		Regrant:   regrant,
	}}
}

// rangeSize returns the total size of the chunks in the range.
func (t *transfer) rangeSize(r Range) identifier.ByteCount {
	var size identifier.ByteCount
	for i := range r.Count {
		location, _ := t.manifest.Chunk(r.First + verifier.ChunkIndex(i))
		size += location.Size
	}
	return size
}

// leaseAnswered applies a grant or a refusal. Chunks that another member was granted
// are requested from the members, the holder first.
func (f *Fetcher) leaseAnswered(now time.Time, t *transfer, e OriginLeaseAnswered) {
	if t.manifest == nil || e.Chunks.Count <= 0 || e.Chunks.First < 0 ||
		int(e.Chunks.First)+e.Chunks.Count > t.manifest.ChunkCount() {
		return
	}
	s := &t.stripes[t.stripeOf(e.Chunks.First)]
	s.lease.requestedAt = time.Time{}
	if !e.Granted {
		delay := max(e.RetryAfter, f.cfg.RetryDelay)
		probed := t.probes[e.Chunks.First] != nil // the members were asked before, without success
		if !e.Held || e.RetryAfter > 0 || probed {
			s.lease.retryAt = now.Add(delay)
		}
	}
	for n := range e.Chunks.Count {
		i := e.Chunks.First + verifier.ChunkIndex(n)
		if t.have.has(int(i)) {
			continue
		}
		switch {
		case e.Granted:
			if s.lease.spent[i] || t.probes[i] != nil {
				t.counts.regrants++
			}
			delete(s.lease.spent, i)
			s.lease.unread[i] = e.Expires
		case e.Held:
			t.probes[i] = &probe{holder: e.Holder}
		}
	}
}
