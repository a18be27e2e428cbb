package fetcher

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Stage is how far a transfer is.
type Stage string

// The stages.
const (
	WaitingForManifest Stage = "WaitingForManifest"
	WaitingForSpace    Stage = "WaitingForSpace"
	Fetching           Stage = "Fetching"
	Verifying          Stage = "Verifying"
	Complete           Stage = "Complete"
	Refused            Stage = "Refused"
)

// fetch is a chunk that was asked for and has not come yet.
type fetch struct {
	source Source
	since  time.Time
	// wait: the source keeps the request until it holds the chunk.
	wait bool
	// patient: a silent source is neither blamed nor set aside.
	patient bool
	// expires ends the lease of an origin read.
	expires time.Time
}

// stripe is the state of a run of consecutive chunks.
type stripe struct {
	first, end   verifier.ChunkIndex // chunks [first, end)
	lowest       verifier.ChunkIndex // every chunk below is held
	place        position
	waiting      int                 // fetches from the current ancestor
	originReads  int                 // fetches from the origin
	lastProgress time.Time           // when a chunk last came or an ancestor was chosen
	arrivals     int                 // the transfer's arrivals at that time
	delays       int                 // reports of a delay in a row
	demanded     verifier.ChunkIndex // the furthest chunk that a peer waited for
	demandedAt   time.Time           // when one last began to wait
	orphaned     time.Time           // since when there is no ancestor to ask
	lease        lease
	// passedOver holds sources that brought nothing for this stripe, and until when.
	passedOver map[identifier.Upstream]time.Time
}

// transfer is the fetching of one manifest.
type transfer struct {
	want         Wanted
	stage        Stage
	paused       bool
	superseded   bool
	ready        []RequestID
	manifest     *verifier.Manifest
	have         bitset
	held         int
	heldSize     identifier.ByteCount
	fetches      map[verifier.ChunkIndex]fetch
	stripes      []stripe
	peers        []Peer
	plan         *plan
	suspects     map[identifier.Upstream]suspicion
	sent         map[identifier.Upstream]*history
	pulls        int
	patience     int       // doublings of the progress deadline
	strained     time.Time // when it was last doubled
	calm         int       // chunks since it last changed
	probes       map[verifier.ChunkIndex]*probe
	avoid        map[verifier.ChunkIndex]identifier.Upstream // who sent a chunk corrupt
	share        float64                                     // bytes sent for the transfer over its weight
	retry        time.Time
	started      time.Time
	counts       counts
	waiters      map[verifier.ChunkIndex][]ChunkRequested
	problem      string
	arrivals     int       // chunks that came
	lastProgress time.Time // when the last one came
}

// history is what a peer has sent.
type history struct {
	whole, corrupt int
}

// suspicion keeps a source from being asked.
type suspicion struct {
	until  time.Time
	reason Reason
}

// counts are the figures of a transfer that operators see.
type counts struct {
	fromOrigin, fromPeers, reused identifier.ByteCount
	blamed                        map[Source]int
	originAgain                   int
}

func newTransfer(now time.Time, want Wanted) *transfer {
	return &transfer{
		want:     want,
		stage:    WaitingForManifest,
		started:  now,
		fetches:  make(map[verifier.ChunkIndex]fetch),
		suspects: make(map[identifier.Upstream]suspicion),
		sent:     make(map[identifier.Upstream]*history),
		probes:   make(map[verifier.ChunkIndex]*probe),
		avoid:    make(map[verifier.ChunkIndex]identifier.Upstream),
		waiters:  make(map[verifier.ChunkIndex][]ChunkRequested),
		counts:   counts{blamed: make(map[Source]int)},
	}
}

// open takes in the manifest and cuts its chunks into stripes.
func (t *transfer) open(now time.Time, m *verifier.Manifest, stripes int) {
	t.manifest = m
	t.stage = Fetching
	t.have = newBitset(m.Chunks())
	n := max(1, min(stripes, m.Chunks()))
	t.stripes = make([]stripe, n)
	for i := range t.stripes {
		first := verifier.ChunkIndex(i * m.Chunks() / n)
		t.stripes[i] = stripe{
			first:        first,
			lowest:       first,
			demanded:     first,
			end:          verifier.ChunkIndex((i + 1) * m.Chunks() / n),
			lastProgress: now,
			lease:        newLease(),
			passedOver:   make(map[identifier.Upstream]time.Time),
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

// replan computes the trees from the members. A member that does not know the
// others yet has no place: it would take itself for a root.
func (t *transfer) replan(now time.Time, self Peer) {
	if t.manifest == nil || t.peers == nil {
		return
	}
	peers := slices.Clone(t.peers)
	if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Upstream == self.Upstream }) {
		for _, p := range peers { // control has not listed this member yet: it joins last
			self.Token = max(self.Token, p.Token+1)
		}
		peers = append(peers, self)
	}
	n := len(t.stripes)
	t.plan = newPlan(t.want.Manifest, peers, n, originRoots(t.want.Favour, n))
	for i := range t.stripes {
		t.stripes[i].place = t.plan.place(i, self.Upstream)
		t.stripes[i].lastProgress = now
	}
}

// hold marks every place of the digest as held and returns the new ones.
func (t *transfer) hold(digest identifier.Digest) []verifier.ChunkIndex {
	var fresh []verifier.ChunkIndex
	for _, i := range t.manifest.Indices(digest) {
		if t.have.has(int(i)) {
			continue
		}
		location, _ := t.manifest.Chunk(i)
		t.have.add(int(i))
		t.held++
		t.heldSize += location.Size
		delete(t.probes, i)
		delete(t.avoid, i)
		fresh = append(fresh, i)
		s := &t.stripes[t.stripeOf(i)]
		for s.lowest < s.end && t.have.has(int(s.lowest)) {
			s.lowest++
		}
	}
	return fresh
}

// complete reports whether every chunk is held.
func (t *transfer) complete() bool {
	return t.manifest != nil && t.held == t.manifest.Chunks()
}

// active reports whether chunks may be asked for.
func (t *transfer) active() bool {
	return t.stage == Fetching && !t.paused && !t.superseded && t.plan != nil
}

// begin records a fetch.
func (t *transfer) begin(now time.Time, i verifier.ChunkIndex, f fetch) {
	f.since = now
	t.fetches[i] = f
	t.count(i, f, 1)
}

// end forgets a fetch and reports whether it was from the source.
func (t *transfer) end(i verifier.ChunkIndex, source Source) bool {
	f, ok := t.fetches[i]
	if !ok || f.source != source {
		return false
	}
	delete(t.fetches, i)
	t.count(i, f, -1)
	return true
}

// count keeps the number of fetches of each sort.
func (t *transfer) count(i verifier.ChunkIndex, f fetch, n int) {
	s := &t.stripes[t.stripeOf(i)]
	switch {
	case f.source.IsOrigin():
		s.originReads += n
	case f.wait:
		s.waiting += n
	default:
		t.pulls += n
	}
}

// suspected reports whether the source is set aside for the stripe.
func (t *transfer) suspected(now time.Time, s *stripe, peer identifier.Upstream) bool {
	return now.Before(t.suspects[peer].until) || now.Before(s.passedOver[peer])
}

// otherAncestor returns the nearest ancestor that did not send the chunk corrupt,
// or the given one where there is no other.
func (t *transfer) otherAncestor(now time.Time, s *stripe, i verifier.ChunkIndex, parent Peer) Peer {
	avoid, ok := t.avoid[i]
	if !ok {
		return parent
	}
	for _, peer := range s.place.ancestors {
		if peer.Upstream != avoid && !t.suspected(now, s, peer.Upstream) {
			return peer
		}
	}
	return parent
}

// isAncestor reports whether the member may wait at the peer.
func (s *stripe) isAncestor(peer identifier.Upstream) bool {
	return slices.ContainsFunc(s.place.ancestors, func(p Peer) bool { return p.Upstream == peer })
}

// ancestor returns the nearest ancestor that is not set aside.
func (t *transfer) ancestor(now time.Time, s *stripe) (Peer, bool) {
	for _, peer := range s.place.ancestors {
		if !t.suspected(now, s, peer.Upstream) {
			return peer, true
		}
	}
	return Peer{}, false
}

// fetching returns the chunks that are asked for, in order.
func (t *transfer) fetching() []verifier.ChunkIndex {
	return slices.Sorted(maps.Keys(t.fetches))
}

// resetProgress starts the progress deadlines anew.
func (t *transfer) resetProgress(now time.Time) {
	for i := range t.stripes {
		t.stripes[i].lastProgress = now
	}
}

// deadline returns how long a source may be silent.
func (t *transfer) deadline(cfg Config) time.Duration {
	return cfg.ProgressDeadline << t.patience
}

// strain doubles the deadline after a source was silent for too long. A link that
// is slower than the deadline supposes would otherwise bring the same chunk again
// and again.
func (t *transfer) strain(now time.Time, cfg Config) {
	t.calm = 0
	if now.Sub(t.strained) >= t.deadline(cfg) {
		t.patience = min(t.patience+1, maxPatience)
		t.strained = now
	}
}

// relax halves the deadline after enough chunks came without another silence.
func (t *transfer) relax() {
	t.calm++
	if t.patience > 0 && t.calm >= len(t.stripes) {
		t.patience--
		t.calm = 0
	}
}

// maxPatience bounds how often the deadline is doubled.
const maxPatience = 3

// history returns what the peer has sent so far.
func (t *transfer) history(peer identifier.Upstream) *history {
	h := t.sent[peer]
	if h == nil {
		h = &history{}
		t.sent[peer] = h
	}
	return h
}

// forgive ends every suspicion of a member that left or came back.
func (t *transfer) forgive(peer identifier.Upstream) {
	delete(t.suspects, peer)
	delete(t.sent, peer)
	for i := range t.stripes {
		delete(t.stripes[i].passedOver, peer)
	}
}
