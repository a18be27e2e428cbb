package fetcher

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// serving is a peer's request that is kept or being sent.
type serving struct {
	request ChunkRequested
	since   time.Time
	sending bool
	// stray: the peer should wait elsewhere since the members changed.
	stray bool
}

// requested takes in a peer's request.
func (f *Fetcher) requested(now time.Time, e ChunkRequested) []Effect {
	t := f.transfers[e.Manifest]
	refuse := func(reason Reason) []Effect {
		return []Effect{RefuseChunk{Request: e.Request, Reason: reason, RetryAfter: f.cfg.RetryDelay}}
	}
	switch {
	case t == nil:
		return refuse(NotWanted)
	case e.Chunk < 0:
		return refuse(NotHeld)
	case len(f.serving) >= f.cfg.UploadQueue:
		return refuse(Busy)
	case t.manifest == nil && !e.Wait:
		return refuse(NotHeld)
	case t.manifest != nil && int(e.Chunk) >= t.manifest.Chunks():
		return refuse(NotHeld)
	}
	if t.manifest != nil && t.have.has(int(e.Chunk)) {
		if !e.Wait && len(t.ready) > f.cfg.Uploads {
			return refuse(Busy)
		}
		f.serving[e.Request] = &serving{request: e, since: now}
		t.ready = append(t.ready, e.Request)
		return f.send()
	}
	if !e.Wait {
		return refuse(NotHeld)
	}
	f.serving[e.Request] = &serving{request: e, since: now}
	t.demand(now, e.Chunk)
	t.waiters[e.Chunk] = append(t.waiters[e.Chunk], e)
	return f.pump(now, t)
}

// demand notes how far peers have come in a stripe.
func (t *transfer) demand(now time.Time, i verifier.ChunkIndex) {
	if t.manifest == nil {
		return
	}
	s := &t.stripes[t.stripeOf(i)]
	s.demanded = max(s.demanded, i)
	s.demandedAt = now
}

// offer answers the requests that waited for chunks. Peers that hand the chunk
// on to most others come first.
func (f *Fetcher) offer(t *transfer, fresh []verifier.ChunkIndex) []Effect {
	for _, i := range fresh {
		waiters := t.waiters[i]
		delete(t.waiters, i)
		if t.plan != nil {
			n := t.stripeOf(i)
			slices.SortStableFunc(waiters, func(a, b ChunkRequested) int {
				return t.plan.children(n, b.Peer) - t.plan.children(n, a.Peer)
			})
		}
		for _, e := range waiters {
			t.ready = append(t.ready, e.Request)
		}
	}
	return f.send()
}

// send starts uploads while slots are free. The transfer that has sent least
// for its priority goes first.
func (f *Fetcher) send() []Effect {
	var effects []Effect
	for f.sending < f.cfg.Uploads {
		t := f.nextToSend()
		if t == nil {
			break
		}
		id := t.ready[0]
		t.ready = t.ready[1:]
		s := f.serving[id]
		if s == nil {
			continue
		}
		location, _ := t.manifest.Chunk(s.request.Chunk)
		s.sending = true
		f.sending++
		f.sent = max(f.sent, t.share)
		t.share = f.sent + float64(location.Size)/weight(t.want.Priority)
		effects = append(effects, SendChunk{
			Request:  id,
			Manifest: t.want.Manifest,
			Chunk:    s.request.Chunk,
			Digest:   location.Digest,
			Peer:     s.request.Peer,
		})
	}
	return effects
}

// nextToSend returns the transfer with ready requests that comes first.
func (f *Fetcher) nextToSend() *transfer {
	var best *transfer
	for _, id := range f.order {
		t := f.transfers[id]
		if len(t.ready) > 0 && (best == nil || t.share < best.share) {
			best = t
		}
	}
	return best
}

// weight returns the share of a priority against priority 0.
func weight(p Priority) float64 {
	const step = 2 // each priority gets twice the share of the one below
	w := 1.0
	for range min(max(p, 0), 16) {
		w *= step
	}
	return w
}

// ended forgets a request.
func (f *Fetcher) ended(e RequestEnded) []Effect {
	s := f.serving[e.Request]
	if s == nil {
		return nil
	}
	delete(f.serving, e.Request)
	if s.sending {
		f.sending--
	}
	if t := f.transfers[s.request.Manifest]; t != nil {
		t.forgetWaiter(s.request)
	}
	return f.send()
}

func (t *transfer) forgetWaiter(e ChunkRequested) {
	list := slices.DeleteFunc(t.waiters[e.Chunk], func(w ChunkRequested) bool { return w.Request == e.Request })
	if len(list) == 0 {
		delete(t.waiters, e.Chunk)
		return
	}
	t.waiters[e.Chunk] = list
}

// reportDelays tells peers whose requests are kept for long that this member is
// alive, so that they don't take it for stalled, and those that should wait
// elsewhere that nothing is being sent.
func (f *Fetcher) reportDelays(now time.Time) []Effect {
	var late []RequestID
	for id, s := range f.serving {
		if !s.sending && (s.stray || now.Sub(s.since) >= f.cfg.ProgressDeadline/2) {
			s.since = now
			late = append(late, id)
		}
	}
	slices.Sort(late)
	effects := make([]Effect, 0, len(late))
	for _, id := range late {
		effects = append(effects, DelayChunk{Request: id})
	}
	return effects
}

// markStrays finds the requests of peers that this member is no ancestor of.
func (f *Fetcher) markStrays(t *transfer) {
	for _, s := range f.serving {
		if s.request.Manifest == t.want.Manifest && s.request.Wait {
			s.stray = !t.plan.descends(t.stripeOf(s.request.Chunk), s.request.Peer, f.cfg.Self.Upstream)
		}
	}
}

// refuseAll ends the requests with the reason.
func (f *Fetcher) refuseAll(ids []RequestID, reason Reason) []Effect {
	slices.Sort(ids)
	var effects []Effect
	for _, id := range ids {
		effects = append(effects, RefuseChunk{Request: id, Reason: reason, RetryAfter: f.cfg.RetryDelay})
		effects = append(effects, f.ended(RequestEnded{Request: id})...)
	}
	return effects
}

// refuseTransfer ends every request for a manifest that is given up.
func (f *Fetcher) refuseTransfer(manifest identifier.Digest) []Effect {
	var ids []RequestID
	for id, s := range f.serving {
		if s.request.Manifest == manifest && !s.sending {
			ids = append(ids, id)
		}
	}
	return f.refuseAll(ids, NotWanted)
}
