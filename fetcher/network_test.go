package fetcher_test

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// window is the time in which the origin's link carries four copies, an
// instance's two, and a thin link 1.05, each way.
const window = 300 * time.Second

const (
	requestBytes = 120 // a request with its transport overhead
	answerBytes  = 60  // an answer without its chunk
	leaseBytes   = 200 // a lease's request and answer
	peerBytes    = 40  // one entry of a list of members
)

// step is something that happens at a virtual time.
type step struct {
	at  time.Duration
	seq int
	run func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// pipe is a link in one direction that carries one chunk after the other.
type pipe struct {
	rate float64 // bytes per second
	free time.Duration
	sent int
}

// carry returns when n bytes that enter at start have left the link.
func (p *pipe) carry(start time.Duration, n int) time.Duration {
	p.sent += n
	p.free = max(p.free, start) + time.Duration(float64(n)/p.rate*float64(time.Second))
	return p.free
}

// version is one published manifest with its bytes.
type version struct {
	manifest *verifier.Manifest
	data     map[identifier.Digest][]byte
	files    fstest.MapFS
}

func newVersion(t require.TestingT, name identifier.WeightVersion, files fstest.MapFS, chunkSize int) *version {
	m, err := verifier.Build(verifier.Description{
		Model: "drafter", Version: name, ChunkSize: identifier.ByteCount(chunkSize),
	}, files)
	require.NoError(t, err)
	v := &version{manifest: m, data: make(map[identifier.Digest][]byte), files: files}
	for i := range m.Chunks() {
		l, _ := m.Chunk(verifier.ChunkIndex(i))
		v.data[l.Digest] = files[m.Files[l.File].Path].Data[l.Offset : l.Offset+l.Size]
	}
	return v
}

func randomVersion(t require.TestingT, seed int64, name identifier.WeightVersion, chunks int) *version {
	const size = 64
	data := make([]byte, chunks*size)
	_, _ = rand.New(rand.NewSource(seed)).Read(data)
	return newVersion(t, name, fstest.MapFS{"weights": {Data: data}}, size)
}

// grant is what the ledger has granted of one chunk and copy.
type grant struct {
	holder  identifier.Upstream
	life    identifier.Incarnation
	expires time.Duration
	read    bool
}

type grantKey struct {
	manifest identifier.Digest
	chunk    verifier.ChunkIndex
	copy     int
}

// network is a small fake of the instances, their links, the origin and control.
type network struct {
	t        require.TestingT
	rand     *rand.Rand
	cfg      fetcher.Config
	now      time.Duration
	steps    steps
	seq      int
	nodes    []*node
	byName   map[identifier.Upstream]*node
	versions map[identifier.Digest]*version
	wanted   fetcher.Wanted
	origin   pipe
	thin     map[[2]identifier.Region]*pipe
	thinRate float64
	grants   map[grantKey]grant
	granted  identifier.ByteCount
	requests fetcher.RequestID

	control, originUp bool
	controlMembers    bool
	corruptPart       float64
	again             int
}

type pendingKey struct {
	manifest identifier.Digest
	chunk    verifier.ChunkIndex
	source   fetcher.Source
}

// node is one instance.
type node struct {
	net      *network
	peer     fetcher.Peer
	f        *fetcher.Fetcher
	up, down pipe
	alive    bool
	frozen   bool
	corrupts bool
	stored   map[identifier.Digest][]byte
	pending  map[pendingKey]*pending
	served   map[fetcher.RequestID]*pending
	ready    map[identifier.Digest]time.Duration
	control  int
	effects  []fetcher.Effect
}

// pending is a request under way.
type pending struct {
	child     *node
	key       pendingKey
	server    *node
	id        fetcher.RequestID
	cancelled bool
	reported  time.Duration // when the sender last said that it waits
	sending   bool          // the link carries it to the end, wanted or not
}

func newNetwork(t require.TestingT, seed int64, cfg fetcher.Config, versions ...*version) *network {
	size := float64(versions[0].manifest.Size())
	n := &network{
		t: t, rand: rand.New(rand.NewSource(seed)), cfg: cfg,
		byName:   make(map[identifier.Upstream]*node),
		versions: make(map[identifier.Digest]*version),
		thin:     make(map[[2]identifier.Region]*pipe),
		grants:   make(map[grantKey]grant),
		origin:   pipe{rate: 4 * size / window.Seconds()},
		thinRate: 1.05 * size / window.Seconds(),
		control:  true, originUp: true, controlMembers: true,
	}
	for _, v := range versions {
		n.versions[v.manifest.Digest()] = v
	}
	return n
}

func (n *network) time() time.Time { return time.Unix(1000, 0).Add(n.now) }

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.steps, step{at: n.now + d, seq: n.seq, run: run})
}

// runUntil runs steps until done holds or the end is reached.
func (n *network) runUntil(end time.Duration, done func() bool) bool {
	for len(n.steps) > 0 && !done() {
		s := heap.Pop(&n.steps).(step)
		if s.at > end {
			heap.Push(&n.steps, s)
			n.now = end
			return false
		}
		n.now = s.at
		s.run()
	}
	return done()
}

// add starts one instance.
func (n *network) add(i int, life identifier.Incarnation) *node {
	size := float64(n.versions[n.wanted.Manifest].manifest.Size())
	rate := 2 * size / window.Seconds()
	nd := &node{
		net: n,
		peer: fetcher.Peer{
			Upstream:         identifier.Upstream(fmt.Sprintf("upstream-%03d", i)),
			Region:           identifier.Region(fmt.Sprintf("region-%d", i%3)),
			AvailabilityZone: identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i/3%2)),
			Incarnation:      life,
			Token:            identifier.FencingToken(len(n.nodes) + 1),
		},
		up: pipe{rate: rate}, down: pipe{rate: rate}, alive: true,
		stored:  make(map[identifier.Digest][]byte),
		pending: make(map[pendingKey]*pending),
		served:  make(map[fetcher.RequestID]*pending),
		ready:   make(map[identifier.Digest]time.Duration),
	}
	cfg := n.cfg
	cfg.Self = nd.peer
	nd.f = fetcher.New(cfg, asserter.Strict{})
	n.nodes = append(n.nodes, nd)
	n.byName[nd.peer.Upstream] = nd
	n.after(time.Duration(n.rand.Int63n(int64(time.Second))), nd.tick)
	n.after(0, func() { nd.event(n.wanted) })
	return nd
}

// members sends the list of live instances to all of them.
func (n *network) members() {
	if !n.controlMembers {
		return
	}
	var peers []fetcher.Peer
	for _, nd := range n.nodes {
		if nd.alive {
			peers = append(peers, nd.peer)
		}
	}
	for _, nd := range n.nodes {
		if nd.alive {
			nd.control += peerBytes
			nd.event(fetcher.PeersChanged{Manifest: n.wanted.Manifest, Peers: peers})
		}
	}
}

// start has count instances want the manifest.
func (n *network) start(count int, w fetcher.Wanted) {
	n.wanted = w
	for i := range count {
		n.add(i, 1)
	}
	n.after(time.Millisecond, n.members)
	for _, nd := range n.nodes {
		nd.control += peerBytes * count
	}
}

// change has every instance want another version.
func (n *network) change(w fetcher.Wanted) {
	n.wanted = w
	for _, nd := range n.nodes {
		nd.event(w)
	}
	n.members()
}

// replace starts an instance in the place of one that ended.
func (n *network) replace(lease time.Duration) {
	n.after(lease, func() {
		n.add(len(n.nodes), 1)
		n.after(time.Second, n.members)
	})
}

// heal ends every fault.
func (n *network) heal() {
	n.control, n.originUp, n.controlMembers, n.corruptPart = true, true, true, 0
	for _, nd := range n.nodes {
		nd.frozen, nd.corrupts = false, false
	}
	n.members()
}

// kill ends an instance; control notices after the lease.
func (n *network) kill(nd *node, lease time.Duration) {
	nd.alive = false
	n.after(lease, n.members)
}

// allReady reports whether every live instance holds the wanted weights.
func (n *network) allReady() bool {
	for _, nd := range n.nodes {
		if _, ok := nd.ready[n.wanted.Manifest]; nd.alive && !ok {
			return false
		}
	}
	return true
}

func (nd *node) tick() {
	if !nd.alive {
		return
	}
	nd.event(fetcher.Ticked{})
	nd.net.after(time.Second, nd.tick)
}

func (nd *node) event(e fetcher.Event) {
	if !nd.alive {
		return
	}
	for _, effect := range nd.f.Reduce(nd.net.time(), e) {
		nd.carry(effect)
	}
}

func (nd *node) carry(effect fetcher.Effect) {
	n := nd.net
	switch e := effect.(type) {
	case fetcher.FetchManifest:
		n.after(n.latency(), func() { nd.event(fetcher.ManifestArrived{Manifest: n.versions[e.Manifest].manifest}) })
	case fetcher.FetchChunkFromPeer:
		nd.ask(e)
	case fetcher.FetchChunkFromOrigin:
		nd.readOrigin(e)
	case fetcher.CancelFetch:
		nd.cancel(pendingKey{e.Manifest, e.Chunk, e.Source})
	case fetcher.AskOriginLease:
		nd.control += leaseBytes
		n.after(n.latency(), func() { nd.event(n.lease(nd, e)) })
	case fetcher.SendChunk:
		nd.send(e)
	case fetcher.RefuseChunk:
		nd.refuse(e)
	case fetcher.DelayChunk:
		nd.delay(e)
	case fetcher.VerifyFiles:
		n.after(0, func() { nd.verify(n.versions[e.Manifest].manifest) })
	case fetcher.Completed:
		require.False(n.t, e.Weights.IsZero())
		nd.ready[e.Weights.Manifest().Digest()] = n.now
	case fetcher.DropChunks:
		for _, d := range e.Digests {
			delete(nd.stored, d)
		}
	default:
		nd.effects = append(nd.effects, effect)
	}
}

// verify reads the files back from what the instance itself has stored.
func (nd *node) verify(m *verifier.Manifest) {
	weights, err := m.VerifyFiles(func(f verifier.File) (io.ReadCloser, error) {
		var data []byte
		for _, d := range f.Chunks {
			data = append(data, nd.stored[d]...)
		}
		return fstest.MapFS{"f": {Data: data}}.Open("f")
	})
	require.NoError(nd.net.t, err)
	nd.event(fetcher.FilesVerified{Weights: weights})
}

func (n *network) latency() time.Duration {
	return time.Millisecond + time.Duration(n.rand.Int63n(int64(time.Millisecond)))
}

func (nd *node) ask(e fetcher.FetchChunkFromPeer) {
	n := nd.net
	nd.control += requestBytes
	n.requests++
	p := &pending{child: nd, key: pendingKey{e.Manifest, e.Chunk, fetcher.Source{Peer: e.Peer.Upstream}}, id: n.requests}
	nd.pending[p.key] = p
	n.after(n.latency(), func() {
		server := n.byName[e.Peer.Upstream]
		if !server.alive || server.peer.Incarnation != e.Peer.Incarnation {
			nd.fail(p, fetcher.Unreachable, 0)
			return
		}
		if p.cancelled || server.frozen || nd.frozen {
			return
		}
		p.server = server
		server.served[p.id] = p
		server.event(fetcher.ChunkRequested{
			Request: p.id, Manifest: e.Manifest, Chunk: e.Chunk, Peer: nd.peer.Upstream, Wait: e.Wait,
		})
	})
}

func (nd *node) fail(p *pending, reason fetcher.Reason, retry time.Duration) {
	if nd.pending[p.key] != p {
		return
	}
	delete(nd.pending, p.key)
	nd.event(fetcher.ChunkFailed{
		Manifest: p.key.manifest, Chunk: p.key.chunk, Source: p.key.source, Reason: reason, RetryAfter: retry,
	})
}

func (nd *node) cancel(key pendingKey) {
	p := nd.pending[key]
	if p == nil {
		return
	}
	p.cancelled = true
	delete(nd.pending, key)
	if p.server != nil {
		nd.net.after(nd.net.latency(), func() {
			if !p.sending {
				p.server.event(fetcher.RequestEnded{Request: p.id})
			}
		})
	}
}

func (nd *node) refuse(e fetcher.RefuseChunk) {
	p := nd.served[e.Request]
	delete(nd.served, e.Request)
	p.child.control += answerBytes
	nd.net.after(nd.net.latency(), func() { p.child.fail(p, e.Reason, e.RetryAfter) })
}

func (nd *node) delay(e fetcher.DelayChunk) {
	nd.reportDelay(nd.served[e.Request])
}

func (nd *node) reportDelay(p *pending) {
	p.child.control += answerBytes
	nd.net.after(nd.net.latency(), func() {
		if !nd.frozen && !p.child.frozen && p.child.pending[p.key] == p {
			p.child.event(fetcher.ChunkDelayed{Manifest: p.key.manifest, Chunk: p.key.chunk, Source: p.key.source})
		}
	})
}

func (nd *node) send(e fetcher.SendChunk) {
	n := nd.net
	p := nd.served[e.Request]
	p.sending = true
	delete(nd.served, e.Request)
	data := nd.stored[e.Digest]
	require.NotNil(n.t, data)
	start := max(n.now, nd.up.free)
	sent := nd.up.carry(n.now, len(data))
	n.after(sent-n.now, func() { nd.event(fetcher.RequestEnded{Request: e.Request}) })
	if nd.frozen || p.child.frozen {
		return
	}
	if nd.peer.Region != p.child.peer.Region {
		n.after(sent-n.now, func() { nd.cross(p, data) })
		return
	}
	nd.deliver(p, data, start, sent)
}

// cross sends a chunk over a thin link. The sender holds it back while the link
// is full, says so, and drops it when it is no longer wanted.
func (nd *node) cross(p *pending, data []byte) {
	n := nd.net
	link := n.thin[[2]identifier.Region{nd.peer.Region, p.child.peer.Region}]
	if link == nil {
		link = &pipe{rate: n.thinRate}
		n.thin[[2]identifier.Region{nd.peer.Region, p.child.peer.Region}] = link
	}
	switch {
	case p.cancelled || !nd.alive:
	case link.free > n.now:
		if n.now-p.reported >= n.cfg.ProgressDeadline/4 {
			p.reported = n.now
			nd.reportDelay(p)
		}
		n.after(link.free-n.now+time.Duration(n.rand.Int63n(int64(time.Millisecond))), func() { nd.cross(p, data) })
	default:
		nd.deliver(p, data, n.now, link.carry(n.now, len(data)))
	}
}

// deliver brings a chunk that left the sender between start and sent.
func (nd *node) deliver(p *pending, data []byte, start, sent time.Duration) {
	n := nd.net
	if nd.corrupts || n.rand.Float64() < n.corruptPart {
		data = append([]byte{data[0] + 1}, data[1:]...)
	}
	p.child.control += answerBytes
	p.child.receive(p, data, start, sent)
}

// receive takes in bytes that left the sender between start and sent.
func (nd *node) receive(p *pending, data []byte, start, sent time.Duration) {
	n := nd.net
	done := max(sent, nd.down.carry(start, len(data))) + n.latency()
	n.after(done-n.now, func() {
		if nd.pending[p.key] != p || !nd.alive {
			return
		}
		chunk, err := n.versions[p.key.manifest].manifest.VerifyChunk(p.key.chunk, data)
		if err != nil {
			nd.fail(p, fetcher.Corrupt, 0)
			return
		}
		delete(nd.pending, p.key)
		nd.stored[chunk.Digest()] = data
		nd.event(fetcher.ChunkArrived{Manifest: p.key.manifest, Chunk: chunk, Source: p.key.source})
	})
}

func (nd *node) readOrigin(e fetcher.FetchChunkFromOrigin) {
	n := nd.net
	p := &pending{child: nd, key: pendingKey{e.Manifest, e.Chunk, fetcher.Origin}}
	nd.pending[p.key] = p
	if !n.originUp {
		n.after(n.latency(), func() { nd.fail(p, fetcher.Unreachable, time.Second) })
		return
	}
	require.True(n.t, n.spend(nd, e), "chunk %d is read without a lease", e.Chunk)
	v := n.versions[e.Manifest]
	l, _ := v.manifest.Chunk(e.Chunk)
	data := v.data[l.Digest]
	start := max(n.now, n.origin.free)
	sent := n.origin.carry(n.now, len(data))
	if n.rand.Float64() < n.corruptPart {
		data = append([]byte{data[0] + 1}, data[1:]...)
	}
	nd.receive(p, data, start, sent)
}

// spend uses up the grant of a read, in whichever copy it is.
func (n *network) spend(nd *node, e fetcher.FetchChunkFromOrigin) bool {
	for c := range 4 {
		key := grantKey{e.Manifest, e.Chunk, c}
		g, ok := n.grants[key]
		if ok && g.holder == nd.peer.Upstream && g.life == nd.peer.Incarnation && g.expires > n.now && !g.read {
			g.read = true
			n.grants[key] = g
			return true
		}
	}
	return false
}

// lease stands in for control's ledger of origin reads.
func (n *network) lease(nd *node, e fetcher.AskOriginLease) fetcher.OriginLeaseAnswered {
	const life = 60 * time.Second
	answer := fetcher.OriginLeaseAnswered{Manifest: e.Manifest, Chunks: e.Chunks, Copy: e.Copy}
	if !n.control {
		answer.RetryAfter = 2 * time.Second
		return answer
	}
	overlaps := false
	for i := range e.Chunks.Count {
		g, ok := n.grants[grantKey{e.Manifest, e.Chunks.First + verifier.ChunkIndex(i), e.Copy}]
		if !ok {
			continue
		}
		overlaps = true
		running := g.expires > n.now
		stands := n.byName[g.holder].alive && (!e.Again || running)
		if g.holder == nd.peer.Upstream {
			stands = running && !e.Again
		}
		if stands {
			answer.Held, answer.Holder = true, g.holder
			return answer
		}
	}
	for i := range e.Chunks.Count {
		key := grantKey{e.Manifest, e.Chunks.First + verifier.ChunkIndex(i), e.Copy}
		n.grants[key] = grant{nd.peer.Upstream, nd.peer.Incarnation, n.now + life, false}
	}
	if overlaps {
		n.again += e.Chunks.Count
	}
	n.granted += e.Size
	answer.Granted, answer.Expires = true, n.time().Add(life)
	return answer
}

// originCopies returns how many copies of the wanted weights left the origin.
func (n *network) originCopies() float64 {
	return float64(n.origin.sent) / float64(n.versions[n.wanted.Manifest].manifest.Size())
}

// thinCopies returns the most copies that one thin link carried one way.
func (n *network) thinCopies() float64 {
	most := 0
	for _, p := range n.thin {
		most = max(most, p.sent)
	}
	return float64(most) / float64(n.versions[n.wanted.Manifest].manifest.Size())
}

// controlRate returns the most control bytes of an instance a second.
func (n *network) controlRate() float64 {
	most := 0
	for _, nd := range n.nodes {
		most = max(most, nd.control)
	}
	return float64(most) / n.now.Seconds()
}
