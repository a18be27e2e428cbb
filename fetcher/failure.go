package fetcher

import (
	"time"

	"celeryvalve/verifier"
)

// failed handles the end of a fetch without the chunk.
func (f *Fetcher) failed(now time.Time, t *transfer, e ChunkFailed) []Effect {
	fetch, ok := t.fetches[e.Chunk]
	if !ok || !t.end(e.Chunk, e.Source) {
		return nil
	}
	if e.Source.IsOrigin() {
		return f.originFailed(now, t, e, fetch.expires)
	}
	s := &t.stripes[t.stripeOf(e.Chunk)]
	delay := max(e.RetryAfter, f.cfg.RetryDelay)
	switch e.Reason {
	case Corrupt:
		return f.corrupt(now, t, e)
	case Unreachable, Stalled:
		effects := f.blame(t, e.Source, e.Reason)
		t.suspects[e.Source.Peer] = suspicion{until: now.Add(f.cfg.SetAside), reason: e.Reason}
		return append(effects, f.withdraw(t, e.Source)...)
	case Busy:
		if p := t.probes[e.Chunk]; p != nil {
			p.next = max(0, p.next-1)
			p.after = now.Add(delay)
		}
	}
	if !fetch.wait {
		return nil
	}
	s.passedOver[e.Source.Peer] = now.Add(delay)
	return nil
}

// delayed notes that a source is alive. Its own source may be the one at fault.
// A former ancestor that has nothing to send yet is not waited for any longer.
func (f *Fetcher) delayed(now time.Time, t *transfer, e ChunkDelayed) []Effect {
	fetch, ok := t.fetches[e.Chunk]
	if !ok || fetch.source != e.Source || !fetch.wait {
		return nil
	}
	s := &t.stripes[t.stripeOf(e.Chunk)]
	if !s.isAncestor(e.Source.Peer) {
		t.end(e.Chunk, e.Source)
		return []Effect{CancelFetch{Manifest: t.want.Manifest, Chunk: e.Chunk, Source: e.Source}}
	}
	s.delays++
	if s.delays <= maxDelays {
		s.lastProgress = now
	}
	return nil
}

// breakCycles gives up requests to former ancestors that now wait at this member.
func (f *Fetcher) breakCycles(t *transfer) []Effect {
	var effects []Effect
	for _, i := range t.fetching() {
		fetch := t.fetches[i]
		if fetch.wait && t.plan.descends(t.stripeOf(i), fetch.source.Peer, f.cfg.Self.Upstream) {
			t.end(i, fetch.source)
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		}
	}
	return effects
}

// maxDelays is how often in a row an ancestor may say that it is alive.
const maxDelays = 32

// corrupt has the chunk fetched elsewhere. A peer that sends more corrupt chunks
// than a faulty link would is set aside.
func (f *Fetcher) corrupt(now time.Time, t *transfer, e ChunkFailed) []Effect {
	effects := f.blame(t, e.Source, Corrupt)
	t.avoid[e.Chunk] = e.Source.Peer
	history := t.history(e.Source.Peer)
	history.corrupt++
	if corruptFactor*history.corrupt <= history.whole+corruptAllowance {
		return effects
	}
	t.suspects[e.Source.Peer] = suspicion{until: now.Add(corruptSetAside), reason: Corrupt}
	return append(effects, f.withdraw(t, e.Source)...)
}

const (
	// corruptFactor is how many whole chunks a peer has to send for each corrupt one.
	corruptFactor = 10
	// corruptAllowance is how many it is credited from the start.
	corruptAllowance = 10
)

// corruptSetAside is how long a peer that sent corrupt bytes gets no request.
const corruptSetAside = time.Hour

// originFailed handles a read that brought no chunk. A read that brought no
// byte leaves its lease unspent.
func (f *Fetcher) originFailed(now time.Time, t *transfer, e ChunkFailed, expires time.Time) []Effect {
	s := &t.stripes[t.stripeOf(e.Chunk)]
	delay := max(e.RetryAfter, f.cfg.RetryDelay)
	f.originAfter[t.want.Source] = now.Add(delay)
	switch e.Reason {
	case RateLimited:
		s.unspend(e.Chunk, expires)
		return nil
	case NotStored:
		return nil
	case Unreachable, Missing:
		s.unspend(e.Chunk, expires)
	}
	return f.blame(t, e.Source, e.Reason)
}

// unspend gives a lease back to a chunk that was not read.
func (s *stripe) unspend(i verifier.ChunkIndex, expires time.Time) {
	delete(s.lease.spent, i)
	s.lease.unread[i] = expires
}

// blame counts a fault of a source.
func (f *Fetcher) blame(t *transfer, source Source, reason Reason) []Effect {
	t.counts.blamed[source]++
	return []Effect{BlamePeer{Manifest: t.want.Manifest, Source: source, Reason: reason}}
}

// withdraw breaks off every fetch from the source.
func (f *Fetcher) withdraw(t *transfer, source Source) []Effect {
	var effects []Effect
	for _, i := range t.fetching() {
		if t.end(i, source) {
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: source})
		}
	}
	return effects
}
