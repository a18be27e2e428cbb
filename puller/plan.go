package puller

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ejectionTime is how long a source that failed is ejected.
	ejectionTime = 1500 * time.Millisecond
	// originFallbackDelay is how long no other source may show a sign of life before the
	// origin is asked. The mirrors read it once for all instances, and what an instance
	// reads from it itself is bandwidth that the mirrors lack.
	originFallbackDelay = 3 * time.Second
	// originPatience is how long sources that are alive may deliver nothing before the
	// origin is asked all the same: longer than most outages of the origin.
	originPatience = 12 * time.Second
	// probeDelay is how long a request may last before other sources are probed for its
	// chunk: several times what a chunk takes on a link of 8 Mbit/s shared by 8 of them.
	// It doubles with each probe of the chunk, up to maxProbeDelay.
	probeDelay    = 400 * time.Millisecond
	maxProbeDelay = 3200 * time.Millisecond
	// probeInterval is the pause between two probes that bring nothing. It keeps the
	// probes of hundreds of instances few while the origin is unavailable.
	probeInterval = 150 * time.Millisecond
)

// Tier is how near a source is. The nearest sources that respond are asked.
type Tier int

// The tiers, the nearest first.
const (
	Local  Tier = iota // a process in the same region
	Remote             // a process in another region
	Origin             // the origin of weights
)

// SourceName identifies a source.
type SourceName string

// Candidate describes a source to a Plan.
type Candidate struct {
	Name SourceName
	Tier Tier
	// Peer marks a source that pulls from the same sources as this process. While one of
	// those responds, a peer is only probed.
	Peer bool
}

// Config configures a Plan.
type Config struct {
	// Self is the name of this process among the sources of the others.
	Self SourceName
	// RemoteDelay is how long the sources of this region may lack a chunk before those of
	// other regions are probed for it.
	RemoteDelay time.Duration
}

// Request is a request for one chunk from one source.
type Request struct {
	Chunk  int
	Source SourceName
	// Wait has the source keep the request until it holds the chunk. Otherwise the request
	// is a probe: the source answers at once.
	Wait bool
}

// Plan schedules the requests for the chunks of one release over its sources. It is
// not safe for concurrent use.
type Plan struct {
	cfg     Config
	held    []bool
	missing int
	// order is the order in which chunks are requested.
	order   []int
	pending map[int]*pendingChunk
	sources []Candidate
	// ejectedUntil is when each source that failed may be asked again.
	ejectedUntil map[SourceName]time.Time
	// failedAt is when each source last failed.
	failedAt map[SourceName]time.Time
	// lastProgress is when a source other than the origin last delivered a chunk, and
	// lastSign when one last showed that it is alive.
	lastProgress time.Time
	lastSign     time.Time
	nextProbe    time.Time
}

// pendingChunk is a chunk that one source was asked to deliver once it holds it.
type pendingChunk struct {
	source      SourceName
	since       time.Time
	nextProbe   time.Time
	probeDelay  time.Duration
	probedCount int
}

// NewPlan returns a plan for a number of chunks. Call SetSources before Next.
func NewPlan(now time.Time, cfg Config, chunks int) *Plan {
	return &Plan{
		cfg:          cfg,
		held:         make([]bool, chunks),
		missing:      chunks,
		order:        interleave(chunks),
		pending:      make(map[int]*pendingChunk),
		ejectedUntil: make(map[SourceName]time.Time),
		failedAt:     make(map[SourceName]time.Time),
		lastProgress: now,
		lastSign:     now,
	}
}

// SetSources replaces the list of sources.
func (p *Plan) SetSources(sources []Candidate) {
	p.sources = sources
}

// Next returns the next request with Wait. It reports false while every missing chunk is
// requested or no source may be asked.
func (p *Plan) Next(now time.Time) (Request, bool) {
	for _, i := range p.order {
		if p.held[i] || p.pending[i] != nil {
			continue
		}
		source, ok := p.sourceFor(now, i)
		if !ok {
			return Request{}, false
		}
		p.pending[i] = &pendingChunk{source: source, since: now, nextProbe: now.Add(probeDelay), probeDelay: probeDelay}
		return Request{Chunk: i, Source: source, Wait: true}, true
	}
	return Request{}, false
}

// Stripes is the number of runs of consecutive chunks, or stripes, into which the mirrors
// divide a release. They fetch all runs at once, each from its first chunk on. With 8 of
// them one mirror read three, and the origin's link idled while the others had finished.
const Stripes = 32

// interleave returns the chunks in the order in which the mirrors receive them: the
// first of each run, then the second of each. In another order, the window would fill
// with requests for chunks that the mirrors receive last.
func interleave(chunks int) []int {
	length := (chunks + Stripes - 1) / Stripes
	order := make([]int, 0, chunks)
	for offset := range length {
		for first := 0; first < chunks; first += length {
			if i := first + offset; i < min(first+length, chunks) {
				order = append(order, i)
			}
		}
	}
	return order
}

// sourceFor returns the source to request chunk i from. The processes of a region spread
// their requests over its sources. Peers without any other source in their region agree
// on one of them for each chunk, which requests it from another region for all.
func (p *Plan) sourceFor(now time.Time, i int) (SourceName, bool) {
	if c, ok := p.choose(now, i, func(c Candidate) bool { return c.Tier == Local && !c.Peer }); ok {
		return c, true
	}
	if leader, ok := p.leader(now, i); ok && leader != p.cfg.Self {
		return leader, true
	}
	if c, ok := p.choose(now, i, func(c Candidate) bool { return c.Tier == Remote }); ok {
		return c, true
	}
	if !p.originAllowed(now) {
		return "", false
	}
	return p.choose(now, i, func(c Candidate) bool { return c.Tier == Origin })
}

// choose returns one of the matching sources that are not ejected, another one for each
// chunk and process.
func (p *Plan) choose(now time.Time, i int, match func(Candidate) bool) (SourceName, bool) {
	return p.highest(now, match, func(s SourceName) uint64 { return rank(i, s, p.cfg.Self) })
}

// leader returns the peer, or this process, that requests chunk i for all peers. All of
// them choose the same one, as long as they know the same sources.
func (p *Plan) leader(now time.Time, i int) (SourceName, bool) {
	score := func(s SourceName) uint64 { return rank(i, s, "") }
	best, ok := p.highest(now, func(c Candidate) bool { return c.Peer }, score)
	if ok && score(p.cfg.Self) > score(best) {
		return p.cfg.Self, true
	}
	return best, ok
}

func (p *Plan) highest(now time.Time, match func(Candidate) bool, score func(SourceName) uint64) (SourceName, bool) {
	var best SourceName
	found := false
	for _, c := range p.sources {
		if !match(c) || now.Before(p.ejectedUntil[c.Name]) || p.isLost(now, c) {
			continue
		}
		if !found || score(c.Name) > score(best) {
			best, found = c.Name, true
		}
	}
	return best, found
}

// isLost reports whether a source failed and no source has shown a sign of life for long.
// Such a source is only probed, since a request to each lost one in turn would take longer than
// its ejection, so that the origin was never asked.
func (p *Plan) isLost(now time.Time, c Candidate) bool {
	failed, ok := p.failedAt[c.Name]
	return ok && c.Tier != Origin && !c.Peer && failed.After(p.lastSign) && now.Sub(p.lastSign) >= originFallbackDelay
}

// rank returns a pseudo-random number for a chunk and a source, as seen by one process.
func rank(chunk int, source, self SourceName) uint64 {
	buf := make([]byte, 0, len(source)+len(self)+2)
	buf = append(buf, byte(chunk), byte(chunk>>8))
	buf = append(buf, source...)
	buf = append(buf, self...)
	return xxhash.Sum64(buf)
}

// originAllowed reports whether the origin may be asked: there is no other source, or
// the others are silent, or they have delivered nothing for long.
func (p *Plan) originAllowed(now time.Time) bool {
	alone := !slices.ContainsFunc(p.sources, func(c Candidate) bool { return c.Tier != Origin })
	return alone || now.Sub(p.lastSign) >= originFallbackDelay || now.Sub(p.lastProgress) >= originPatience
}

// NextProbe returns a probe for a chunk that was requested a while ago, at a source that
// was not asked for it. It reports false if no probe is due.
func (p *Plan) NextProbe(now time.Time) (Request, bool) {
	if now.Before(p.nextProbe) {
		return Request{}, false
	}
	for _, i := range p.order {
		c := p.pending[i]
		if c == nil || now.Before(c.nextProbe) {
			continue
		}
		source, ok := p.probeTarget(now, i, c)
		c.nextProbe = now.Add(c.probeDelay)
		c.probeDelay = min(2*c.probeDelay, maxProbeDelay)
		if !ok {
			continue
		}
		c.probedCount++
		p.nextProbe = now.Add(probeInterval)
		return Request{Chunk: i, Source: source}, true
	}
	return Request{}, false
}

// probeTarget returns the source to probe for chunk i: those of this region in turn, and
// those of other regions as well once the chunk is late by RemoteDelay.
func (p *Plan) probeTarget(now time.Time, i int, c *pendingChunk) (SourceName, bool) {
	var targets []SourceName
	for _, s := range p.sources {
		remote := s.Tier == Remote && now.Sub(c.since) >= p.cfg.RemoteDelay
		if s.Name != c.source && (s.Tier == Local || remote) && !now.Before(p.ejectedUntil[s.Name]) {
			targets = append(targets, s.Name)
		}
	}
	if len(targets) == 0 {
		return "", false
	}
	start := int(rank(i, "", p.cfg.Self) % uint64(len(targets)))
	return targets[(start+c.probedCount)%len(targets)], true
}

// Arrived records a verified chunk.
func (p *Plan) Arrived(now time.Time, r Request) {
	p.progressed(now, r.Source)
	if !r.Wait {
		p.nextProbe = now // other chunks may be there as well
	}
	p.Have(r.Chunk)
}

func (p *Plan) progressed(now time.Time, source SourceName) {
	for _, c := range p.sources {
		if c.Name == source && c.Tier != Origin {
			p.lastProgress = now
		}
	}
	p.Alive(now, source)
}

// Have records that the chunk is held, from wherever it came.
func (p *Plan) Have(chunk int) {
	delete(p.pending, chunk)
	if !p.held[chunk] {
		p.held[chunk] = true
		p.missing--
	}
}

// Alive records that a source has shown that it is alive, and still keeps a request. A peer
// that is alive may itself wait for sources that are lost, or for this process: without the
// others, peers would wait for each other.
func (p *Plan) Alive(now time.Time, source SourceName) {
	for _, c := range p.sources {
		if c.Name == source && c.Tier != Origin && !c.Peer {
			p.lastSign = now
		}
	}
}

// Failed records that the source did not deliver the chunk, and ejects the source.
func (p *Plan) Failed(now time.Time, r Request) {
	p.release(r)
	p.ejectedUntil[r.Source] = now.Add(ejectionTime)
	p.failedAt[r.Source] = now
}

// NotHeld records that a source that was probed does not hold the chunk.
func (p *Plan) NotHeld(now time.Time, r Request) {
	p.release(r)
	p.Alive(now, r.Source)
}

// release lets Next return the chunk again if r was the request that waits for it.
func (p *Plan) release(r Request) {
	if c := p.pending[r.Chunk]; r.Wait && c != nil && c.source == r.Source {
		delete(p.pending, r.Chunk)
	}
}

// Done reports whether every chunk is held.
func (p *Plan) Done() bool {
	return p.missing == 0
}

// Held returns how many chunks are held.
func (p *Plan) Held() int {
	return len(p.held) - p.missing
}
