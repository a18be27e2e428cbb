package fetcher

import (
	"slices"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Fetcher is the reducer of one agent's transfers. It is not safe for concurrent use.
type Fetcher struct {
	cfg           Config
	asserter      asserter.Asserter
	transfers     map[identifier.Digest]*transfer
	order         []identifier.Digest // in the order in which they were wanted
	stored        map[identifier.Digest]verifier.Chunk
	peerRequests  map[RequestID]*peerRequest
	activeUploads int
	// virtualTime is the virtual time of the fair queue of uploads: that of the transfer
	// whose upload started last. New transfers start from it.
	virtualTime float64
	// originRetryAt is when each source may be read again.
	originRetryAt map[string]time.Time
	pacer         pacer
	probeLimiter  tokenBucket
}

// New returns a Fetcher without transfers.
func New(cfg Config, a asserter.Asserter) *Fetcher {
	return &Fetcher{
		cfg:           cfg,
		asserter:      a,
		transfers:     make(map[identifier.Digest]*transfer),
		stored:        make(map[identifier.Digest]verifier.Chunk),
		peerRequests:  make(map[RequestID]*peerRequest),
		originRetryAt: make(map[string]time.Time),
		pacer:         newPacer(cfg),
		probeLimiter:  tokenBucket{tokens: cfg.ProbeBurst},
	}
}

// Reduce applies one event and returns the effects that the shell has to perform.
func (f *Fetcher) Reduce(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Wanted:
		return f.wanted(now, e)
	case Cancelled:
		return f.cancel(now, e.Manifest)
	case ChunkRestored:
		return f.chunkRestored(now, e.Chunk)
	case ChunkRequested:
		return f.chunkRequested(now, e)
	case RequestEnded:
		return f.requestEnded(e)
	case DelayMeasured:
		return f.pacer.delayMeasured(now, e.Delay)
	case BudgetsChanged:
		return f.pacer.budgetsChanged(e)
	case Ticked:
		return f.ticked(now)
	case ManifestArrived:
		return f.manifestArrived(now, e)
	case FilesVerified:
		return f.filesVerified(e)
	}
	return f.reduceTransfer(now, event)
}

// reduceTransfer applies an event of one transfer, if the transfer is known.
func (f *Fetcher) reduceTransfer(now time.Time, event Event) []Effect {
	t := f.transfers[manifestOf(event)]
	if t == nil {
		return f.dropLateChunk(event)
	}
	var effects []Effect
	switch e := event.(type) {
	case Paused:
		t.paused = true
		if e.EndReads {
			effects = f.cancelFetchesFrom(t, Origin)
		}
	case Resumed:
		t.paused = false
		t.resetProgress(now)
	case PeersChanged:
		effects = f.peersChanged(now, t, e.Peers)
	case ManifestFailed:
		effects = f.manifestFailed(now, t, e)
	case ChunkArrived:
		effects = f.chunkArrived(now, t, e)
	case ChunkDelayed:
		effects = f.chunkDelayed(now, t, e)
	case ChunkFailed:
		effects = f.chunkFailed(now, t, e)
	case OriginLeaseAnswered:
		f.leaseAnswered(now, t, e)
	case FilesInvalid:
		effects = f.failTransfer(t, e.Problem, "build the manifest again and declare a new version")
	}
	return append(effects, f.fillWindows(now, t)...)
}

func manifestOf(event Event) identifier.Digest {
	switch e := event.(type) {
	case Paused:
		return e.Manifest
	case Resumed:
		return e.Manifest
	case PeersChanged:
		return e.Manifest
	case ManifestFailed:
		return e.Manifest
	case ChunkArrived:
		return e.Manifest
	case ChunkDelayed:
		return e.Manifest
	case ChunkFailed:
		return e.Manifest
	case OriginLeaseAnswered:
		return e.Manifest
	case FilesInvalid:
		return e.Manifest
	}
	return identifier.Digest{}
}

// wanted starts a transfer, or updates the priority and favour of a known one. It
// supersedes other versions of the same name.
func (f *Fetcher) wanted(now time.Time, e Wanted) []Effect {
	var effects []Effect
	for _, id := range slices.Clone(f.order) {
		if id != e.Manifest && f.transfers[id].want.Name == e.Name && !e.Beside {
			effects = append(effects, f.supersede(id)...)
		}
	}
	if t := f.transfers[e.Manifest]; t != nil {
		return append(effects, f.updateTransfer(now, t, e)...)
	}
	t := newTransfer(now, e)
	t.virtualTime = f.virtualTime
	f.transfers[e.Manifest] = t
	f.order = append(f.order, e.Manifest)
	return append(effects, FetchManifest{Manifest: e.Manifest, Source: e.Source})
}

// updateTransfer applies a new priority or favour. A superseded transfer becomes
// the current one again.
func (f *Fetcher) updateTransfer(now time.Time, t *transfer, e Wanted) []Effect {
	replan := t.want.Favour != e.Favour
	t.want = e
	t.superseded = false
	t.resetProgress(now)
	var effects []Effect
	if t.manifest != nil {
		effects = f.cancelSuperseded(now, t)
	}
	if replan && t.plan != nil {
		t.replan(now, f.cfg.Self)
	}
	return append(effects, f.fillWindows(now, t)...)
}

// supersede stops fetching for a version that another one replaces. Its chunks are
// kept until the manifest of the other version shows which of them it shares.
func (f *Fetcher) supersede(id identifier.Digest) []Effect {
	t := f.transfers[id]
	t.superseded = true
	var effects []Effect
	for _, i := range t.fetching() {
		source := t.fetches[i].source
		t.endFetch(i, source)
		effects = append(effects, CancelFetch{Manifest: id, Chunk: i, Source: source})
	}
	return effects
}

// manifestArrived starts to fetch the chunks of the manifest.
func (f *Fetcher) manifestArrived(now time.Time, e ManifestArrived) []Effect {
	t := f.transfers[e.Manifest.Digest()]
	if t == nil || t.manifest != nil {
		return nil
	}
	t.problem = ""
	t.setManifest(now, e.Manifest, f.cfg.Stripes)
	effects := f.cancelSuperseded(now, t)
	effects = append(effects, f.dropUnused()...)
	effects = append(effects, f.admit(now, t)...)
	return append(effects, f.fillWindows(now, t)...)
}

// cancelSuperseded cancels the superseded versions of the same name. Chunks that
// they share with the current one are kept.
func (f *Fetcher) cancelSuperseded(now time.Time, t *transfer) []Effect {
	var effects []Effect
	for _, id := range slices.Clone(f.order) {
		old := f.transfers[id]
		if old != t && old.superseded && old.want.Name == t.want.Name {
			effects = append(effects, f.cancel(now, id)...)
		}
	}
	return effects
}

// chunkArrived records a chunk that the shell has stored. Every transfer that needs
// it holds it from now on.
func (f *Fetcher) chunkArrived(now time.Time, t *transfer, e ChunkArrived) []Effect {
	ok := f.asserter.Check(asserter.VerifiedWeights, !e.Chunk.Digest().IsZero(), "a chunk arrived without proof that it was verified")
	if !ok {
		return nil
	}
	if t.manifest == nil || len(t.manifest.ChunkIndices(e.Chunk.Digest())) == 0 || t.stage == Refused {
		return nil
	}
	f.stored[e.Chunk.Digest()] = e.Chunk
	effects := f.recordArrival(now, t, e)
	for _, id := range f.order {
		other := f.transfers[id]
		if other != t && other.stage == Fetching {
			effects = append(effects, f.reuse(other, e.Chunk)...)
			effects = append(effects, f.verifyIfComplete(other)...)
		}
	}
	return effects
}

// filesVerified completes the transfer of weights whose files were verified.
func (f *Fetcher) filesVerified(e FilesVerified) []Effect {
	if e.Weights.IsZero() {
		f.asserter.Check(asserter.VerifiedWeights, false, "weights were completed without proof that they were verified")
		return nil
	}
	t := f.transfers[e.Weights.Manifest().Digest()]
	if t == nil || t.stage != Verifying {
		return nil
	}
	if !f.asserter.Check(asserter.VerifiedWeights, t.have.count() == t.manifest.ChunkCount(), "weights with missing chunks were verified") {
		return nil
	}
	t.stage = Complete
	return []Effect{Completed{Name: t.want.Name, Weights: e.Weights}}
}

// manifestFailed schedules the next attempt to fetch the manifest. Content that does
// not match the pinned digest is reported, once, for an operator to correct.
func (f *Fetcher) manifestFailed(now time.Time, t *transfer, e ManifestFailed) []Effect {
	if t.manifest != nil {
		return nil
	}
	t.manifestRetryAt = now.Add(max(e.RetryAfter, f.cfg.RetryDelay))
	if e.Reason != Corrupt || t.problem != "" {
		return nil
	}
	t.problem = "the origin's content under this version's name does not match the pinned digest"
	return []Effect{
		ReportSourceFailure{Manifest: e.Manifest, Source: Origin, Reason: Corrupt},
		Failed{Manifest: e.Manifest, Problem: t.problem, Remedy: "restore the origin's content, or declare the new content as a new version"},
	}
}

// peersChanged applies a new list of members. Fetches from members that left,
// restarted or moved to another address are cancelled.
func (f *Fetcher) peersChanged(now time.Time, t *transfer, peers []Peer) []Effect {
	current := make(map[identifier.Upstream]Peer, len(peers))
	for _, p := range peers {
		current[p.Upstream] = p
	}
	var effects []Effect
	for _, old := range t.peers {
		if p, ok := current[old.Upstream]; ok && p.Incarnation == old.Incarnation && p.Address == old.Address {
			continue
		}
		effects = append(effects, f.cancelFetchesFrom(t, Source{Peer: old.Upstream})...)
		t.resetPeer(old.Upstream)
	}
	t.peers = append([]Peer{}, peers...)
	if t.stage == Fetching || t.stage == Complete || t.stage == Verifying {
		t.replan(now, f.cfg.Self)
		effects = append(effects, f.breakCycles(t)...)
		f.markReparented(t)
	}
	for _, p := range t.probes {
		p.candidates, p.next = nil, 0
	}
	return effects
}

// cancel ends a transfer, refuses the requests for it and drops the chunks that no
// other transfer needs. Transfers that wait for space may then start.
func (f *Fetcher) cancel(now time.Time, id identifier.Digest) []Effect {
	if f.transfers[id] == nil {
		return nil
	}
	effects := f.supersede(id)
	effects = append(effects, f.refuseRequests(id)...)
	t := f.transfers[id]
	delete(f.transfers, id)
	f.order = slices.DeleteFunc(f.order, func(d identifier.Digest) bool { return d == id })
	effects = append(effects, f.dropUnshared(t)...)
	for _, other := range slices.Clone(f.order) {
		o := f.transfers[other]
		if o.stage == WaitingForSpace {
			effects = append(effects, f.admit(now, o)...)
			effects = append(effects, f.fillWindows(now, o)...)
		}
	}
	return effects
}

// ticked checks the progress deadlines and makes the retries that are due.
func (f *Fetcher) ticked(now time.Time) []Effect {
	effects := f.reportDelays(now)
	for _, id := range slices.Clone(f.order) {
		t := f.transfers[id]
		if t.manifest == nil && !t.superseded && !t.manifestRetryAt.IsZero() && !now.Before(t.manifestRetryAt) {
			t.manifestRetryAt = time.Time{}
			effects = append(effects, FetchManifest{Manifest: id, Source: t.want.Source})
		}
		if t.active() {
			effects = append(effects, f.checkProgress(now, t)...)
			effects = append(effects, f.fillWindows(now, t)...)
		}
	}
	return effects
}
