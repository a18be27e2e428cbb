package fetcher

import (
	"time"

	"celeryvalve/verifier"
)

// chunkFailed handles a fetch that ended without the chunk.
func (f *Fetcher) chunkFailed(now time.Time, t *transfer, e ChunkFailed) []Effect {
	fetch, ok := t.fetches[e.Chunk]
	if !ok || !t.endFetch(e.Chunk, e.Source) {
		return nil
	}
	if e.Source.IsOrigin() {
		return f.originFailed(now, t, e, fetch.expires)
	}
	s := &t.stripes[t.stripeOf(e.Chunk)]
	delay := max(e.RetryAfter, f.cfg.RetryDelay)
	switch e.Reason {
	case Corrupt:
		return f.handleCorrupt(now, t, e)
	case Unreachable, Stalled:
		effects := f.reportFailure(t, e.Source, e.Reason)
		t.ejections[e.Source.Peer] = ejection{until: now.Add(f.cfg.EjectionTime), reason: e.Reason}
		return append(effects, f.cancelFetchesFrom(t, e.Source)...)
	case Busy:
		if p := t.probes[e.Chunk]; p != nil {
			p.next = max(0, p.next-1)
			p.retryAt = now.Add(delay)
		}
	}
	if !fetch.wait {
		return nil
	}
	s.ejectedUntil[e.Source.Peer] = now.Add(delay)
	return nil
}

// chunkDelayed handles a report that a source is alive and keeps the request. Up to
// maxDelays such reports in a row extend the progress deadline, since the fault may lie
// with that source's own source. A request to a former ancestor that has nothing to send
// yet is cancelled.
func (f *Fetcher) chunkDelayed(now time.Time, t *transfer, e ChunkDelayed) []Effect {
	fetch, ok := t.fetches[e.Chunk]
	if !ok || fetch.source != e.Source || !fetch.wait {
		return nil
	}
	s := &t.stripes[t.stripeOf(e.Chunk)]
	if !s.isAncestor(e.Source.Peer) {
		t.endFetch(e.Chunk, e.Source)
		return []Effect{CancelFetch{Manifest: t.want.Manifest, Chunk: e.Chunk, Source: e.Source}}
	}
	s.delays++
	if s.delays <= maxDelays {
		s.lastProgress = now
	}
	return nil
}

// breakCycles cancels requests to former ancestors that now wait for this member.
func (f *Fetcher) breakCycles(t *transfer) []Effect {
	var effects []Effect
	for _, i := range t.fetching() {
		fetch := t.fetches[i]
		if fetch.wait && t.plan.isDescendant(t.stripeOf(i), fetch.source.Peer, f.cfg.Self.Upstream) {
			t.endFetch(i, fetch.source)
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: fetch.source})
		}
	}
	return effects
}

// maxDelays is how many reports of a delay in a row extend the progress deadline.
const maxDelays = 32

// handleCorrupt handles a corrupt chunk, which is then fetched from another source if
// there is one. A peer that sends more corrupt chunks than a faulty link would cause is
// ejected.
func (f *Fetcher) handleCorrupt(now time.Time, t *transfer, e ChunkFailed) []Effect {
	effects := f.reportFailure(t, e.Source, Corrupt)
	t.corruptFrom[e.Chunk] = e.Source.Peer
	history := t.history(e.Source.Peer)
	history.corrupt++
	if intactPerCorrupt*history.corrupt <= history.intact+corruptAllowance {
		return effects
	}
	t.ejections[e.Source.Peer] = ejection{until: now.Add(corruptEjectionTime), reason: Corrupt}
	return append(effects, f.cancelFetchesFrom(t, e.Source)...)
}

const (
	// intactPerCorrupt is how many intact chunks a peer has to send for each corrupt one in
	// order not to be ejected.
	intactPerCorrupt = 10
	// corruptAllowance is how many intact chunks each peer is credited with at the start.
	corruptAllowance = 10
)

// corruptEjectionTime is how long a peer that sent too many corrupt chunks is ejected.
const corruptEjectionTime = time.Hour

// originFailed handles an origin read that delivered no chunk. A read that delivered
// no byte does not use up its lease.
func (f *Fetcher) originFailed(now time.Time, t *transfer, e ChunkFailed, expires time.Time) []Effect {
	s := &t.stripes[t.stripeOf(e.Chunk)]
	delay := max(e.RetryAfter, f.cfg.RetryDelay)
	f.originRetryAt[t.want.Source] = now.Add(delay)
	switch e.Reason {
	case RateLimited:
		s.restoreLease(e.Chunk, expires)
		return nil
	case NotStored:
		return nil
	case Unreachable, Missing:
		s.restoreLease(e.Chunk, expires)
	}
	return f.reportFailure(t, e.Source, e.Reason)
}

// restoreLease makes the lease of a chunk that was not read usable again.
func (s *stripe) restoreLease(i verifier.ChunkIndex, expires time.Time) {
	delete(s.lease.spent, i)
	s.lease.unread[i] = expires
}

// reportFailure counts and reports a failure of a source.
func (f *Fetcher) reportFailure(t *transfer, source Source, reason Reason) []Effect {
	t.counts.failures[source]++
	return []Effect{ReportSourceFailure{Manifest: t.want.Manifest, Source: source, Reason: reason}}
}

// cancelFetchesFrom cancels every fetch from the source.
func (f *Fetcher) cancelFetchesFrom(t *transfer, source Source) []Effect {
	var effects []Effect
	for _, i := range t.fetching() {
		if t.endFetch(i, source) {
			effects = append(effects, CancelFetch{Manifest: t.want.Manifest, Chunk: i, Source: source})
		}
	}
	return effects
}
