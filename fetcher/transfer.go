package fetcher

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Stage is the stage that a transfer has reached.
type Stage string

// The stages of a transfer.
const (
	WaitingForManifest Stage = "WaitingForManifest"
	WaitingForSpace    Stage = "WaitingForSpace" // other transfers leave too little of the store limit
	Fetching           Stage = "Fetching"
	Verifying          Stage = "Verifying"
	Complete           Stage = "Complete"
	Refused            Stage = "Refused" // can't continue until an operator acts
)

// fetch is a request for a chunk that has not arrived yet.
type fetch struct {
	source Source
	since  time.Time
	// wait: the source keeps the request until it holds the chunk.
	wait bool
	// fromHolder: the source has the origin lease on the chunk. If it stalls, it is
	// neither reported nor ejected.
	fromHolder bool
	// expires is when the lease of an origin read ends.
	expires time.Time
}

// stripe is the state of a run of consecutive chunks.
type stripe struct {
	first, end         verifier.ChunkIndex // chunks [first, end)
	lowest             verifier.ChunkIndex // every chunk below is held
	position           position
	ancestorFetches    int                 // fetches that wait at an ancestor
	originReads        int                 // fetches from the origin
	lastProgress       time.Time           // when the progress deadline last started
	arrivalsAtProgress int                 // arrivals of the transfer at the last chunk
	delays             int                 // reports of a delay since the last chunk
	demanded           verifier.ChunkIndex // the furthest chunk that a peer waited for
	demandedAt         time.Time           // when a peer last began to wait
	orphanedAt         time.Time           // since when there is no ancestor to ask, or zero
	lease              lease
	// ejectedUntil holds the peers that are ejected for this stripe, and until when.
	ejectedUntil map[identifier.Upstream]time.Time
}

// transfer is the state of fetching one manifest.
type transfer struct {
	want                  Wanted
	stage                 Stage
	paused                bool
	superseded            bool
	sendQueue             []RequestID
	manifest              *verifier.Manifest
	have                  bitset
	held                  int
	heldSize              identifier.ByteCount
	fetches               map[verifier.ChunkIndex]fetch
	stripes               []stripe
	peers                 []Peer
	plan                  *plan
	ejections             map[identifier.Upstream]ejection
	histories             map[identifier.Upstream]*history
	activeProbes          int
	originReads           int       // fetches from the origin, over all stripes
	nextStripe            int       // the stripe whose window is filled first
	deadlineDoublings     int       // doublings of the progress deadline
	deadlineDoubledAt     time.Time // when it was last doubled
	arrivalsSinceAdjusted int       // chunks since the last stall or halving
	probes                map[verifier.ChunkIndex]*probe
	corruptFrom           map[verifier.ChunkIndex]identifier.Upstream // who last sent the chunk corrupt
	virtualTime           float64                                     // bytes sent for the transfer divided by its weight
	manifestRetryAt       time.Time
	started               time.Time
	counts                counts
	waiters               map[verifier.ChunkIndex][]ChunkRequested
	problem               string
	arrivals              int       // chunks received
	lastProgress          time.Time // when the last chunk was received
}

// history counts the intact and corrupt chunks that a peer has sent.
type history struct {
	intact, corrupt int
}

// ejection excludes a peer from requests until a given time.
type ejection struct {
	until  time.Time
	reason Reason
}

// counts are the counters of a transfer that operators see.
type counts struct {
	fromOrigin, fromPeers, reused identifier.ByteCount
	failures                      map[Source]int
	regrants                      int
}

func newTransfer(now time.Time, want Wanted) *transfer {
	return &transfer{
		want:        want,
		stage:       WaitingForManifest,
		started:     now,
		fetches:     make(map[verifier.ChunkIndex]fetch),
		ejections:   make(map[identifier.Upstream]ejection),
		histories:   make(map[identifier.Upstream]*history),
		probes:      make(map[verifier.ChunkIndex]*probe),
		corruptFrom: make(map[verifier.ChunkIndex]identifier.Upstream),
		waiters:     make(map[verifier.ChunkIndex][]ChunkRequested),
		counts:      counts{failures: make(map[Source]int)},
	}
}

// setManifest stores the manifest and divides its chunks into stripes.
func (t *transfer) setManifest(now time.Time, m *verifier.Manifest, stripes int) {
	t.manifest = m
	t.stage = Fetching
	t.have = newBitset(m.ChunkCount())
	n := max(1, min(stripes, m.ChunkCount()))
	t.stripes = make([]stripe, n)
	for i := range t.stripes {
		first := verifier.ChunkIndex(i * m.ChunkCount() / n)
		t.stripes[i] = stripe{
			first:        first,
			lowest:       first,
			demanded:     first,
			end:          verifier.ChunkIndex((i + 1) * m.ChunkCount() / n),
			lastProgress: now,
			lease:        newLease(),
			ejectedUntil: make(map[identifier.Upstream]time.Time),
		}
	}
}

// stripeOf returns the stripe that holds the chunk.
func (t *transfer) stripeOf(i verifier.ChunkIndex) int {
	n, found := slices.BinarySearchFunc(t.stripes, i, func(s stripe, i verifier.ChunkIndex) int {
		return int(s.first - i)
	})
	if !found {
		n--
	}
	return n
}

// replan computes the trees from the members. Before the first list of members there
// is no plan, since this member would make itself a root.
func (t *transfer) replan(now time.Time, self Peer) {
	if t.manifest == nil || t.peers == nil {
		return
	}
	peers := t.peers
	if len(peers) == 0 {
		peers = []Peer{self}
	}
	n := len(t.stripes)
	t.plan = newPlan(t.want.Manifest, peers, n, originRoots(t.want.Favour, n))
	for i := range t.stripes {
		t.stripes[i].position = t.plan.position(i, self)
		t.stripes[i].lastProgress = now
	}
}

// markHeld marks every index of the digest as held and returns the new ones.
func (t *transfer) markHeld(digest identifier.Digest) []verifier.ChunkIndex {
	var newlyHeld []verifier.ChunkIndex
	for _, i := range t.manifest.ChunkIndices(digest) {
		if t.have.has(int(i)) {
			continue
		}
		location, _ := t.manifest.Chunk(i)
		t.have.add(int(i))
		t.held++
		t.heldSize += location.Size
		delete(t.probes, i)
		delete(t.corruptFrom, i)
		newlyHeld = append(newlyHeld, i)
		s := &t.stripes[t.stripeOf(i)]
		for s.lowest < s.end && t.have.has(int(s.lowest)) {
			s.lowest++
		}
	}
	return newlyHeld
}

// complete reports whether every chunk is held.
func (t *transfer) complete() bool {
	return t.manifest != nil && t.held == t.manifest.ChunkCount()
}

// active reports whether chunks may be requested.
func (t *transfer) active() bool {
	return t.stage == Fetching && !t.paused && !t.superseded && t.plan != nil
}

// startFetch records a fetch.
func (t *transfer) startFetch(now time.Time, i verifier.ChunkIndex, f fetch) {
	f.since = now
	t.fetches[i] = f
	t.countFetch(i, f, 1)
}

// endFetch removes the fetch of a chunk if it is from the source, and reports whether it
// was.
func (t *transfer) endFetch(i verifier.ChunkIndex, source Source) bool {
	f, ok := t.fetches[i]
	if !ok || f.source != source {
		return false
	}
	delete(t.fetches, i)
	t.countFetch(i, f, -1)
	return true
}

// countFetch adds n to the number of fetches of the same kind.
func (t *transfer) countFetch(i verifier.ChunkIndex, f fetch, n int) {
	s := &t.stripes[t.stripeOf(i)]
	switch {
	case f.source.IsOrigin():
		s.originReads += n
		t.originReads += n
	case f.wait:
		s.ancestorFetches += n
	default:
		t.activeProbes += n
	}
}

// isEjected reports whether the peer is ejected for the stripe or for all of them.
func (t *transfer) isEjected(now time.Time, s *stripe, peer identifier.Upstream) bool {
	return now.Before(t.ejections[peer].until) || now.Before(s.ejectedUntil[peer])
}

// otherAncestor returns the nearest ancestor that did not send the chunk corrupt, or
// the given parent if there is none.
func (t *transfer) otherAncestor(now time.Time, s *stripe, i verifier.ChunkIndex, parent Peer) Peer {
	corruptPeer, ok := t.corruptFrom[i]
	if !ok {
		return parent
	}
	for _, peer := range s.position.ancestors {
		if peer.Upstream != corruptPeer && !t.isEjected(now, s, peer.Upstream) {
			return peer
		}
	}
	return parent
}

// isAncestor reports whether the peer is an ancestor of this member, which may then
// wait for it.
func (s *stripe) isAncestor(peer identifier.Upstream) bool {
	return slices.ContainsFunc(s.position.ancestors, func(p Peer) bool { return p.Upstream == peer })
}

// ancestor returns the nearest ancestor that is not ejected.
func (t *transfer) ancestor(now time.Time, s *stripe) (Peer, bool) {
	for _, peer := range s.position.ancestors {
		if !t.isEjected(now, s, peer.Upstream) {
			return peer, true
		}
	}
	return Peer{}, false
}

// fetching returns the chunks that are being fetched, in order.
func (t *transfer) fetching() []verifier.ChunkIndex {
	return slices.Sorted(maps.Keys(t.fetches))
}

// resetProgress restarts the progress deadlines.
func (t *transfer) resetProgress(now time.Time) {
	for i := range t.stripes {
		t.stripes[i].lastProgress = now
	}
}

// deadline returns how long a source may deliver nothing.
func (t *transfer) deadline(cfg Config) time.Duration {
	return cfg.ProgressDeadline << t.deadlineDoublings
}

// raiseDeadline doubles the progress deadline after a stall. Otherwise a link that is
// too slow for the deadline would transfer the same chunk again and again.
func (t *transfer) raiseDeadline(now time.Time, cfg Config) {
	t.arrivalsSinceAdjusted = 0
	if now.Sub(t.deadlineDoubledAt) >= t.deadline(cfg) {
		t.deadlineDoublings = min(t.deadlineDoublings+1, maxDeadlineDoublings)
		t.deadlineDoubledAt = now
	}
}

// lowerDeadline halves the progress deadline after as many chunks as there are stripes
// arrived without another stall.
func (t *transfer) lowerDeadline() {
	t.arrivalsSinceAdjusted++
	if t.deadlineDoublings > 0 && t.arrivalsSinceAdjusted >= len(t.stripes) {
		t.deadlineDoublings--
		t.arrivalsSinceAdjusted = 0
	}
}

// maxDeadlineDoublings limits how often the progress deadline is doubled.
const maxDeadlineDoublings = 3

// history returns the history of the peer, which may be new.
func (t *transfer) history(peer identifier.Upstream) *history {
	h := t.histories[peer]
	if h == nil {
		h = &history{}
		t.histories[peer] = h
	}
	return h
}

// resetPeer discards the ejections and the history of a peer that left, restarted or
// moved to another address.
func (t *transfer) resetPeer(peer identifier.Upstream) {
	delete(t.ejections, peer)
	delete(t.histories, peer)
	for i := range t.stripes {
		delete(t.stripes[i].ejectedUntil, peer)
	}
}
