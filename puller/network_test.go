package puller_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/puller"
)

// The size of a release and of the links at which releases came too late: 204 engines in
// five regions, with one mirror and seven other entries in each.
const (
	releaseChunks  = 64
	chunkSize      = 32 << 10
	originRate     = 5_940_000 / 8
	mirrorRate     = 100e6 / 8
	cacheRate      = 0.85 * 40e6 / 8
	agentRate      = 7.6e6 / 8
	regionRate     = 27e6 / 8
	regionCount    = 5
	cachesInRegion = 7
	agentsInRegion = 41
	// originReads is how many chunks the origin sends at once.
	originReads = 10
	// originParts is how many parts of a chunk take turns on its link.
	originParts      = 8
	originRetryDelay = 150 * time.Millisecond
	window           = 8
	probes           = 2
	// sourceLatency is the time for a request and its answer within a region.
	sourceLatency = 2 * time.Millisecond
	aliveInterval = 600 * time.Millisecond
	stallTimeout  = 2500 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// pipe is one direction of a link, which carries one chunk after another.
type pipe struct {
	rate   float64 // bytes per second
	freeAt time.Duration
	chunks int
	// queue holds the chunks that wait for their turn, each with what follows.
	queue []queuedChunk
	busy  bool
}

type queuedChunk struct {
	turn fetcher.Turn
	sent func()
}

func (p *pipe) carry(at time.Duration) time.Duration {
	p.chunks++
	p.freeAt = max(p.freeAt, at) + time.Duration(chunkSize/p.rate*float64(time.Second))
	return p.freeAt
}

// process is a mirror, a cache or an agent.
type process struct {
	name    puller.SourceName
	region  int
	up      pipe
	down    pipe
	held    []bool
	waiting map[int][]func() // requests that are kept until the chunk is held
	dead    bool
	plan    *puller.Plan
	active  map[bool]int // requests in progress: those that wait, and probes
	wholeAt time.Duration
}

// fleet is a whole deployment in virtual time.
type fleet struct {
	now      time.Duration
	queue    events
	seq      int
	mirrors  []*process
	caches   []*process
	agents   []*process
	byName   map[puller.SourceName]*process
	between  map[[2]int]*pipe
	originUp func(time.Duration) bool
	// idle says that no engine serves until the release is there.
	idle bool
	// startLater is when agents want the release, if not at the start.
	startLater map[*process]time.Duration
	originFor  int // chunks that instances read from the origin
	// originFree is when the origin's link is free, and partTime how long it takes a part
	// of a chunk.
	originFree, partTime time.Duration
}

func newFleet(caches int) *fleet {
	f := &fleet{
		byName:     make(map[puller.SourceName]*process),
		between:    make(map[[2]int]*pipe),
		originUp:   func(time.Duration) bool { return true },
		startLater: make(map[*process]time.Duration),
		partTime:   chunkSize * time.Second / originRate / originParts,
	}
	for region := range regionCount {
		f.mirrors = append(f.mirrors, f.add("mirror", region, 0, mirrorRate))
		for i := range caches {
			f.caches = append(f.caches, f.add("cache", region, i, cacheRate))
		}
		for i := range agentsInRegion {
			f.agents = append(f.agents, f.add("agent", region, i, agentRate))
		}
		for other := range regionCount {
			f.between[[2]int{region, other}] = &pipe{rate: regionRate}
		}
	}
	return f
}

func (f *fleet) add(role string, region, i int, rate float64) *process {
	p := &process{
		name:    puller.SourceName(fmt.Sprintf("%s-%d-%d", role, region, i)),
		region:  region,
		up:      pipe{rate: rate},
		down:    pipe{rate: rate},
		held:    make([]bool, releaseChunks),
		waiting: make(map[int][]func()),
		active:  make(map[bool]int),
	}
	f.byName[p.name] = p
	return p
}

func (f *fleet) at(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: max(d, f.now), seq: f.seq, run: run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

// startOrigin has the mirrors read the release once: the roots of the stripes read a chunk
// each at a time, and pass it on to the mirrors of the other regions.
func (f *fleet) startOrigin() {
	order := make([]int, 0, releaseChunks)
	length := releaseChunks / puller.Stripes
	for offset := range length {
		for s := range puller.Stripes {
			order = append(order, s*length+offset)
		}
	}
	next := 0
	var read func()
	read = func() {
		if next == len(order) {
			return
		}
		chunk := order[next]
		next++
		f.readFromOrigin(chunk, chunk/length, read)
	}
	for range originReads {
		read()
	}
}

// readFromOrigin carries a chunk in parts, so that the reads in progress share the origin's
// link. A read that meets an outage begins again after it.
func (f *fleet) readFromOrigin(chunk, stripe int, then func()) {
	f.readPart(originParts, func(complete bool) {
		if !complete {
			f.at(f.now+originRetryDelay, func() { f.readFromOrigin(chunk, stripe, then) })
			return
		}
		root := f.mirrors[stripe%len(f.mirrors)]
		if root.dead {
			root = f.mirrors[(stripe+1)%len(f.mirrors)]
		}
		if root.dead {
			return // all are
		}
		f.hold(root, chunk)
		for _, other := range f.mirrors {
			if other != root {
				f.send(root, other, func() { f.hold(other, chunk) })
			}
		}
		then()
	})
}

func (f *fleet) readPart(left int, end func(complete bool)) {
	f.originFree = max(f.originFree, f.now) + f.partTime
	f.at(f.originFree, func() {
		switch {
		case !f.originUp(f.now):
			end(false)
		case left == 1:
			end(true)
		default:
			f.readPart(left-1, end)
		}
	})
}

// send carries a chunk over the links between two processes. The sender serves those that
// ask it in their turns.
func (f *fleet) send(from, to *process, arrived func()) {
	turn := fetcher.ServingTurn
	switch {
	case !slices.Contains(f.agents, to):
		turn = fetcher.RelayTurn
	case f.idle:
		turn = (&fetcher.ChunkRequest{Upstream: identifier.Upstream(to.name), Idle: true}).Turn()
	}
	from.up.queue = append(from.up.queue, queuedChunk{turn, func() {
		at := f.now
		if from.region != to.region {
			at = f.between[[2]int{from.region, to.region}].carry(at)
		}
		f.at(to.down.carry(at)+sourceLatency, arrived)
	}})
	if !from.up.busy {
		f.sendNext(&from.up)
	}
}

func (f *fleet) sendNext(p *pipe) {
	p.busy = len(p.queue) > 0
	if !p.busy {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b queuedChunk) int { return cmp.Compare(a.turn, b.turn) })
	sent := p.queue[0].sent
	p.queue = p.queue[1:]
	f.at(p.carry(f.now), func() {
		sent()
		f.sendNext(p)
	})
}

func (f *fleet) hold(p *process, chunk int) {
	if p.held[chunk] || p.dead {
		return
	}
	p.held[chunk] = true
	for _, answer := range p.waiting[chunk] {
		answer()
	}
	delete(p.waiting, chunk)
}

// startPull has a cache or an agent begin to pull.
func (f *fleet) startPull(p *process, isCache bool) {
	remoteDelay := 1500 * time.Millisecond
	if isCache {
		remoteDelay = 500 * time.Millisecond
	}
	p.plan = puller.NewPlan(f.clock(), puller.Config{Self: p.name, RemoteDelay: remoteDelay}, releaseChunks)
	var sources []puller.Candidate
	for _, m := range f.mirrors {
		tier := puller.Remote
		if m.region == p.region {
			tier = puller.Local
		}
		sources = append(sources, puller.Candidate{Name: m.name, Tier: tier})
	}
	for _, c := range f.caches {
		if c.region == p.region && c != p {
			sources = append(sources, puller.Candidate{Name: c.name, Tier: puller.Local, Peer: isCache})
		}
	}
	p.plan.SetSources(append(sources, origin))
	f.poll(p)
}

// poll is what idle workers do every 100 ms.
func (f *fleet) poll(p *process) {
	if p.plan.Done() || p.dead {
		return
	}
	f.request(p)
	f.at(f.now+100*time.Millisecond, func() { f.poll(p) })
}

// request starts as many requests as the workers of p carry out at once.
func (f *fleet) request(p *process) {
	for p.active[true] < window {
		r, ok := p.plan.Next(f.clock())
		if !ok {
			break
		}
		f.ask(p, r)
	}
	for p.active[false] < probes {
		r, ok := p.plan.NextProbe(f.clock())
		if !ok {
			break
		}
		f.ask(p, r)
	}
}

func (f *fleet) ask(p *process, r puller.Request) {
	p.active[r.Wait]++
	if r.Source == origin.Name {
		f.originFor++
	}
	ended := false
	end := func(report func()) {
		if !ended {
			ended = true
			p.active[r.Wait]--
			report()
			f.request(p)
		}
	}
	source := f.byName[r.Source]
	deliver := func() {
		f.send(source, p, func() {
			end(func() {
				p.plan.Arrived(f.clock(), r)
				f.hold(p, r.Chunk)
				if p.plan.Done() && p.wholeAt == 0 {
					p.wholeAt = f.now
				}
			})
		})
	}
	f.at(f.now+sourceLatency, func() {
		switch {
		case r.Source == origin.Name:
			f.readForInstance(p, r, end)
		case source == nil || source.dead:
			f.at(f.now+stallTimeout, func() { end(func() { p.plan.Failed(f.clock(), r) }) })
		case source.held[r.Chunk]:
			deliver()
		case !r.Wait:
			end(func() { p.plan.NotHeld(f.clock(), r) })
		default:
			source.waiting[r.Chunk] = append(source.waiting[r.Chunk], deliver)
			f.keepAlive(p, source, r, &ended, end)
		}
	})
}

// readForInstance carries a chunk from the origin to a cache or an agent.
func (f *fleet) readForInstance(p *process, r puller.Request, end func(func())) {
	f.readPart(originParts, func(complete bool) {
		if !complete {
			end(func() { p.plan.Failed(f.clock(), r) })
			return
		}
		f.at(p.down.carry(f.now), func() {
			end(func() {
				p.plan.Arrived(f.clock(), r)
				f.hold(p, r.Chunk)
				if p.plan.Done() && p.wholeAt == 0 {
					p.wholeAt = f.now
				}
			})
		})
	})
}

// keepAlive tells the requester that the source is alive, and ends the request if it is
// not.
func (f *fleet) keepAlive(p, source *process, r puller.Request, ended *bool, end func(func())) {
	f.at(f.now+aliveInterval, func() {
		switch {
		case *ended:
		case source.dead:
			f.at(f.now+stallTimeout, func() { end(func() { p.plan.Failed(f.clock(), r) }) })
		default:
			p.plan.Alive(f.clock(), r.Source)
			f.keepAlive(p, source, r, ended, end)
		}
	})
}

// play has all caches and agents want a release that the mirrors begin to read, and
// returns when the first and the last agent in touch hold it.
func (f *fleet) play(t *testing.T) (first, last time.Duration) {
	f.startOrigin()
	for _, c := range f.caches {
		f.startPull(c, true)
	}
	for _, a := range f.agents {
		f.at(f.startLater[a], func() { f.startPull(a, false) })
	}
	f.run(time.Minute)
	first = time.Hour
	for _, a := range f.agents {
		require.NotZero(t, a.wholeAt, "%s never holds the release", a.name)
		first, last = min(first, a.wholeAt), max(last, a.wholeAt)
	}
	return first, last
}

const (
	// releaseDeadline is the time in which a release must be in force: 10.3 s, of which the
	// swap of the engines in turns takes about 2 s.
	releaseDeadline = 8300 * time.Millisecond
	// lateDeadline is the same where engines that serve nothing only have to stage and load.
	lateDeadline = 9700 * time.Millisecond
)

// Load pattern: a release for 204 engines in five regions. One mirror in each region had to
// send 41 copies, so that no engine held the release before all did, 12 s after its naming.
func TestReleaseReachesHundredsOfEngines(t *testing.T) {
	f := newFleet(cachesInRegion)
	first, last := f.play(t)
	t.Logf("first %v, last %v", first, last)
	require.Less(t, last, 6*time.Second)
	require.Zero(t, f.originFor)
	for link, p := range f.between {
		require.LessOrEqual(t, p.chunks, releaseChunks, "between regions %v", link)
	}
}

// The origin is lost 2.5 s after the naming and comes back 6 s later. What it had sent must
// be on every engine by then, so that only the rest is missing.
func TestOriginLostInARelease(t *testing.T) {
	f := newFleet(cachesInRegion)
	const lost, back = 2500 * time.Millisecond, 8500 * time.Millisecond
	f.originUp = func(d time.Duration) bool { return d < lost || d >= back }
	_, last := f.play(t)
	t.Logf("last %v", last)
	require.Less(t, last, lateDeadline)
	require.Zero(t, f.originFor, "no instance may read what the mirrors read")
}

// One mirror is lost in a release: the caches of its region agree on who fetches what from
// the other regions.
func TestMirrorLostInARelease(t *testing.T) {
	f := newFleet(cachesInRegion)
	f.at(time.Second, func() { f.mirrors[2].dead = true })
	_, last := f.play(t)
	t.Logf("last %v", last)
	require.Less(t, last, releaseDeadline)
}

// Load pattern: 84 of the engines started a moment before the release and still pull the
// one before it, so that they want the new one 2 s later than the others.
func TestReleaseReachesEnginesThatJustStarted(t *testing.T) {
	f := newFleet(cachesInRegion)
	for i, a := range f.agents {
		if i%5 < 2 {
			f.startLater[a] = 2 * time.Second
		}
	}
	_, last := f.play(t)
	t.Logf("last %v", last)
	require.Less(t, last, releaseDeadline)
}

// A link of 0.95 Mbit/s delays its own engine only.
func TestSqueezedAgentDelaysNoOther(t *testing.T) {
	f := newFleet(cachesInRegion)
	slow := f.agents[3]
	slow.down.rate = 0.95e6 / 8
	f.play(t)
	for _, a := range f.agents {
		if a != slow {
			require.Less(t, a.wholeAt, 6*time.Second, a.name)
		}
	}
}

// Load pattern: all power was lost, and the mirrors alone still hold the release that every
// engine needs. Engines held it all at once, when the last of them did, and nothing was
// served until then.
func TestEnginesHoldAReleaseOneAfterAnother(t *testing.T) {
	half, last := make(map[bool]time.Duration), make(map[bool]time.Duration)
	for _, idle := range []bool{false, true} {
		f := newFleet(cachesInRegion)
		f.idle = idle
		f.originUp = func(time.Duration) bool { return false }
		for i := range len(f.mirrors) * releaseChunks {
			f.hold(f.mirrors[i%len(f.mirrors)], i/len(f.mirrors))
		}
		for _, a := range f.agents {
			a.down.rate = mirrorRate
		}
		_, last[idle] = f.play(t)
		slices.SortFunc(f.agents, func(a, b *process) int { return cmp.Compare(a.wholeAt, b.wholeAt) })
		half[idle] = f.agents[len(f.agents)/2].wholeAt
	}
	t.Logf("half, last: in turns %v, %v, at once %v, %v", half[true], last[true], half[false], last[false])
	require.Less(t, half[true], 2*half[false]/3)
	require.Less(t, last[true], last[false]*11/10)
}

// All control replicas are lost 2 s after the naming, when caches hold 40 of 64 chunks, and
// stay in the lists of sources. What entries hold goes on to the instances, and each region reads
// the rest once from the origin. It used to come never: caches waited for each other.
func TestAllMirrorsLostInARelease(t *testing.T) {
	f := newFleet(cachesInRegion)
	f.at(2*time.Second, func() {
		for _, m := range f.mirrors {
			m.dead = true
		}
	})
	first, last := f.play(t)
	t.Logf("first %v, last %v, %d chunks read by instances", first, last, f.originFor)
	require.Less(t, last, 18*time.Second)
	require.LessOrEqual(t, f.originFor, regionCount*(releaseChunks-40))
}
