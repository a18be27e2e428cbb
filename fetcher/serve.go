package fetcher

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// peerRequest is a peer's request that is kept, or whose chunk is being sent.
type peerRequest struct {
	request    ChunkRequested
	lastReport time.Time // when it arrived or was last reported as delayed
	sending    bool
	// reparented is set while this member is not an ancestor of the peer, which may be so
	// after the members have changed.
	reparented bool
}

// chunkRequested handles a peer's request: it is answered, kept or refused.
func (f *Fetcher) chunkRequested(now time.Time, e ChunkRequested) []Effect {
	t := f.transfers[e.Manifest]
	refuse := func(reason Reason) []Effect {
		return []Effect{RefuseChunk{Request: e.Request, Reason: reason, RetryAfter: f.cfg.RetryDelay}}
	}
	switch {
	case t == nil:
		return refuse(UnknownManifest)
	case e.Chunk < 0:
		return refuse(NotHeld)
	case len(f.peerRequests) >= f.cfg.UploadQueue:
		return refuse(Busy)
	case t.manifest == nil && !e.Wait:
		return refuse(NotHeld)
	case t.manifest != nil && int(e.Chunk) >= t.manifest.ChunkCount():
		return refuse(NotHeld)
	}
	if t.manifest != nil && t.have.has(int(e.Chunk)) {
		if !e.Wait && len(t.sendQueue) > f.cfg.Uploads {
			return refuse(Busy)
		}
		f.peerRequests[e.Request] = &peerRequest{request: e, lastReport: now}
		t.sendQueue = append(t.sendQueue, e.Request)
		return f.startUploads()
	}
	if !e.Wait {
		return refuse(NotHeld)
	}
	f.peerRequests[e.Request] = &peerRequest{request: e, lastReport: now}
	t.recordDemand(now, e.Chunk)
	t.waiters[e.Chunk] = append(t.waiters[e.Chunk], e)
	return f.fillWindows(now, t)
}

// recordDemand records the furthest chunk of a stripe that a peer waits for.
func (t *transfer) recordDemand(now time.Time, i verifier.ChunkIndex) {
	if t.manifest == nil {
		return
	}
	s := &t.stripes[t.stripeOf(i)]
	s.demanded = max(s.demanded, i)
	s.demandedAt = now
}

// answerWaiters answers the requests that waited for the chunks. Peers with the most
// children in the stripe's tree come first.
func (f *Fetcher) answerWaiters(t *transfer, newlyHeld []verifier.ChunkIndex) []Effect {
	for _, i := range newlyHeld {
		waiters := t.waiters[i]
		delete(t.waiters, i)
		if t.plan != nil {
			n := t.stripeOf(i)
			slices.SortStableFunc(waiters, func(a, b ChunkRequested) int {
				return t.plan.childCount(n, b.Peer) - t.plan.childCount(n, a.Peer)
			})
		}
		for _, e := range waiters {
			t.sendQueue = append(t.sendQueue, e.Request)
		}
	}
	return f.startUploads()
}

// startUploads starts uploads while slots are free. It is a weighted fair queue: the
// transfer that has sent the fewest bytes for its weight comes first.
func (f *Fetcher) startUploads() []Effect {
	var effects []Effect
	for f.activeUploads < f.cfg.Uploads {
		t := f.nextTransfer()
		if t == nil {
			break
		}
		id := t.sendQueue[0]
		t.sendQueue = t.sendQueue[1:]
		r := f.peerRequests[id]
		if r == nil {
			continue
		}
		location, _ := t.manifest.Chunk(r.request.Chunk)
		r.sending = true
		f.activeUploads++
		f.virtualTime = max(f.virtualTime, t.virtualTime)
		t.virtualTime = f.virtualTime + float64(location.Size)/weight(t.want.Priority)
		effects = append(effects, SendChunk{
			Request:  id,
			Manifest: t.want.Manifest,
			Chunk:    r.request.Chunk,
			Digest:   location.Digest,
			Peer:     r.request.Peer,
		})
	}
	return effects
}

// nextTransfer returns the transfer with the lowest virtual time among those that
// have requests to answer, or nil.
func (f *Fetcher) nextTransfer() *transfer {
	var best *transfer
	for _, id := range f.order {
		t := f.transfers[id]
		if len(t.sendQueue) > 0 && (best == nil || t.virtualTime < best.virtualTime) {
			best = t
		}
	}
	return best
}

// weight returns the share of uploads of a priority, relative to priority 0.
func weight(p Priority) float64 {
	const step = 2 // each priority gets twice the share of the one below
	w := 1.0
	for range min(max(p, 0), 16) {
		w *= step
	}
	return w
}

// requestEnded removes a peer's request.
func (f *Fetcher) requestEnded(e RequestEnded) []Effect {
	r := f.peerRequests[e.Request]
	if r == nil {
		return nil
	}
	delete(f.peerRequests, e.Request)
	if r.sending {
		f.activeUploads--
	}
	if t := f.transfers[r.request.Manifest]; t != nil {
		t.removeWaiter(r.request)
	}
	return f.startUploads()
}

func (t *transfer) removeWaiter(e ChunkRequested) {
	list := slices.DeleteFunc(t.waiters[e.Chunk], func(w ChunkRequested) bool { return w.Request == e.Request })
	if len(list) == 0 {
		delete(t.waiters, e.Chunk)
		return
	}
	t.waiters[e.Chunk] = list
}

// reportDelays tells peers whose requests have been kept for long that this member is
// alive, so that they don't treat it as stalled. A peer that is no longer a descendant
// of this member is told at every tick, so that it cancels a request whose chunk is not
// being sent.
func (f *Fetcher) reportDelays(now time.Time) []Effect {
	var late []RequestID
	for id, r := range f.peerRequests {
		if !r.sending && (r.reparented || now.Sub(r.lastReport) >= f.cfg.ProgressDeadline/2) {
			r.lastReport = now
			late = append(late, id)
		}
	}
	slices.Sort(late)
	effects := make([]Effect, 0, len(late))
	for _, id := range late {
		effects = append(effects, ReportChunkDelay{Request: id})
	}
	return effects
}

// markReparented marks the requests of peers that are no longer descendants of this
// member.
func (f *Fetcher) markReparented(t *transfer) {
	for _, r := range f.peerRequests {
		if r.request.Manifest == t.want.Manifest && r.request.Wait {
			r.reparented = !t.plan.isDescendant(t.stripeOf(r.request.Chunk), r.request.Peer, f.cfg.Self.Upstream)
		}
	}
}

// refuseAll refuses and removes the requests.
func (f *Fetcher) refuseAll(ids []RequestID, reason Reason) []Effect {
	slices.Sort(ids)
	var effects []Effect
	for _, id := range ids {
		effects = append(effects, RefuseChunk{Request: id, Reason: reason, RetryAfter: f.cfg.RetryDelay})
		effects = append(effects, f.requestEnded(RequestEnded{Request: id})...)
	}
	return effects
}

// refuseRequests refuses every request for a cancelled manifest whose chunk is not
// being sent already.
func (f *Fetcher) refuseRequests(manifest identifier.Digest) []Effect {
	var ids []RequestID
	for id, r := range f.peerRequests {
		if r.request.Manifest == manifest && !r.sending {
			ids = append(ids, id)
		}
	}
	return f.refuseAll(ids, UnknownManifest)
}
