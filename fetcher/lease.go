package fetcher

import (
	"fmt"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// lease is what a member may still read of a stripe from the origin.
type lease struct {
	unread map[verifier.ChunkIndex]time.Time // leased and not read yet, with the expiry
	spent  map[verifier.ChunkIndex]bool      // read in vain: a new grant is needed
	asked  time.Time                         // when an unanswered request was made
	after  time.Time                         // no request before
}

func newLease() lease {
	return lease{
		unread: make(map[verifier.ChunkIndex]time.Time),
		spent:  make(map[verifier.ChunkIndex]bool),
	}
}

// leaseAnswerDeadline is how long control may take to answer.
const leaseAnswerDeadline = 10 * time.Second

// origin reads what is leased of a stripe and asks for more.
func (f *Fetcher) origin(now time.Time, t *transfer, n int) []Effect {
	s := &t.stripes[n]
	var effects []Effect
	ask := Range{}
	again := false
	unread := 0
	size := f.leaseSize(s)
	end := f.readEnd(now, s)
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
			} else if effect, ok := f.read(now, t, s, i); ok {
				effects = append(effects, effect)
			} else {
				unread++
			}
			continue
		}
		if p := t.probes[i]; p != nil && !p.exhausted {
			continue
		}
		needsAgain := s.lease.spent[i] || t.probes[i] != nil
		if ask.Count == 0 {
			ask = Range{First: i}
			again = needsAgain
		}
		if i != ask.First+verifier.ChunkIndex(ask.Count) || needsAgain != again || ask.Count == size {
			break
		}
		ask.Count++
	}
	if 2*unread < size {
		effects = append(effects, f.askLease(now, t, s, ask, again)...)
	}
	return effects
}

// readEnd returns up to where the origin may be read. A root stays just ahead of
// the members that wait for it, so that little is lost with it; without any it
// reads for itself.
func (f *Fetcher) readEnd(now time.Time, s *stripe) verifier.ChunkIndex {
	if now.Sub(s.demandedAt) >= f.cfg.ProgressDeadline {
		return s.end
	}
	return min(s.end, max(s.demanded, s.lowest)+verifier.ChunkIndex(f.cfg.ReadAhead))
}

// readLeased reads what a member that is no longer the stripe's root was granted
// before its place changed: until the lease ends, nobody else may read it. It
// gives up a request for such a chunk, since the ancestor may wait for it here.
func (f *Fetcher) readLeased(now time.Time, t *transfer, s *stripe) []Effect {
	var effects []Effect
	for i := s.lowest; i < s.end && len(s.lease.unread) > 0; i++ {
		if t.have.has(int(i)) || !now.Before(s.lease.unread[i]) {
			continue
		}
		if fetch, ok := t.fetches[i]; ok && !fetch.source.IsOrigin() {
			t.end(i, fetch.source)
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		}
		if effect, ok := f.read(now, t, s, i); ok {
			effects = append(effects, effect)
		}
	}
	return effects
}

// leaseSize returns how many chunks are leased at once.
func (f *Fetcher) leaseSize(s *stripe) int {
	return max(1, int(s.end-s.first)/f.cfg.LeaseParts)
}

// read spends the lease of a chunk.
func (f *Fetcher) read(now time.Time, t *transfer, s *stripe, i verifier.ChunkIndex) (Effect, bool) {
	if s.originReads >= f.cfg.OriginReads || now.Before(f.originAfter[t.want.Source]) {
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
	t.begin(now, i, fetch{source: Origin, expires: expires})
	return FetchChunkFromOrigin{Manifest: t.want.Manifest, Chunk: i, Source: t.want.Source, Expires: expires}, true
}

// askLease asks for a range unless a request is under way.
func (f *Fetcher) askLease(now time.Time, t *transfer, s *stripe, r Range, again bool) []Effect {
	waits := !s.lease.asked.IsZero() && now.Sub(s.lease.asked) < leaseAnswerDeadline
	if r.Count == 0 || waits || now.Before(s.lease.after) {
		return nil
	}
	s.lease.asked = now
	return []Effect{AskOriginLease{
		Manifest:  t.want.Manifest,
		Chunks:    r,
		Copy:      max(0, s.place.copyNumber),
		Size:      t.rangeSize(r),
		TotalSize: t.manifest.Size(),
		Favour:    t.want.Favour,
		Again:     again,
	}}
}

// rangeSize returns how many bytes the chunks hold.
func (t *transfer) rangeSize(r Range) identifier.ByteCount {
	var size identifier.ByteCount
	for i := range r.Count {
		location, _ := t.manifest.Chunk(r.First + verifier.ChunkIndex(i))
		size += location.Size
	}
	return size
}

// leaseAnswered takes in a grant or a refusal.
func (f *Fetcher) leaseAnswered(now time.Time, t *transfer, e OriginLeaseAnswered) {
	if t.manifest == nil || e.Chunks.Count <= 0 || e.Chunks.First < 0 ||
		int(e.Chunks.First)+e.Chunks.Count > t.manifest.Chunks() {
		return
	}
	s := &t.stripes[t.stripeOf(e.Chunks.First)]
	s.lease.asked = time.Time{}
	if !e.Granted {
		delay := max(e.RetryAfter, f.cfg.RetryDelay)
		known := t.probes[e.Chunks.First] != nil // asked for again in vain
		if !e.Held || e.RetryAfter > 0 || known {
			s.lease.after = now.Add(delay)
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
				t.counts.originAgain++
			}
			delete(s.lease.spent, i)
			s.lease.unread[i] = e.Expires
		case e.Held:
			t.probes[i] = &probe{holder: e.Holder}
		}
	}
}
