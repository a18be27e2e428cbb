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

// window is the time in which the origin's link transfers four copies of the weights,
// an instance's link two, and a thin link between two regions 1.05, in each direction.
const window = 300 * time.Second

const (
	requestBytes = 120 // a request with its transport overhead
	answerBytes  = 60  // an answer without its chunk
	leaseBytes   = 200 // a lease's request and answer
	peerBytes    = 40  // one entry of a list of members
)

// step is a function that runs at a virtual time. Steps of the same time run in the
// order of seq.
type step struct {
	at  time.Duration
	seq int
	run func()
}

// steps is a heap with the earliest step first.
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

// link is one direction of a network link, which transmits one chunk after another.
type link struct {
	rate   float64 // bytes per second
	freeAt time.Duration
	sent   int
}

// transmit returns when n bytes that enter the link at start have left it.
func (l *link) transmit(start time.Duration, n int) time.Duration {
	l.sent += n
	l.freeAt = max(l.freeAt, start) + time.Duration(float64(n)/l.rate*float64(time.Second))
	return l.freeAt
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
	for i := range m.ChunkCount() {
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

// grant is the last grant of a chunk of one of the origin's copies.
type grant struct {
	holder      identifier.Upstream
	incarnation identifier.Incarnation
	expires     time.Duration
	read        bool
}

type grantKey struct {
	manifest identifier.Digest
	chunk    verifier.ChunkIndex
	copy     int
}

// network simulates the instances, their links, the origin and control.
type network struct {
	t         require.TestingT
	rand      *rand.Rand
	cfg       fetcher.Config
	now       time.Duration
	steps     steps
	seq       int
	nodes     []*node
	byName    map[identifier.Upstream]*node
	versions  map[identifier.Digest]*version
	wanted    fetcher.Wanted
	origin    link
	thinLinks map[[2]identifier.Region]*link
	thinRate  float64
	grants    map[grantKey]grant
	granted   identifier.ByteCount
	requests  fetcher.RequestID

	controlUp, originUp bool
	membersUp           bool
	corruptFraction     float64
	regranted           int
}

type pendingKey struct {
	manifest identifier.Digest
	chunk    verifier.ChunkIndex
	source   fetcher.Source
}

// node is one instance.
type node struct {
	net          *network
	peer         fetcher.Peer
	f            *fetcher.Fetcher
	up, down     link
	alive        bool
	frozen       bool
	corrupts     bool
	stored       map[identifier.Digest][]byte
	pending      map[pendingKey]*pending
	served       map[fetcher.RequestID]*pending
	readyAt      map[identifier.Digest]time.Duration
	controlBytes int
	effects      []fetcher.Effect
}

// pending is a request in progress.
type pending struct {
	child     *node
	key       pendingKey
	server    *node
	id        fetcher.RequestID
	cancelled bool
	reported  time.Duration // when the sender last reported a delay
	sending   bool          // the link transmits it to the end, even if it is cancelled
}

func newNetwork(t require.TestingT, seed int64, cfg fetcher.Config, versions ...*version) *network {
	size := float64(versions[0].manifest.Size())
	n := &network{
		t: t, rand: rand.New(rand.NewSource(seed)), cfg: cfg,
		byName:    make(map[identifier.Upstream]*node),
		versions:  make(map[identifier.Digest]*version),
		thinLinks: make(map[[2]identifier.Region]*link),
		grants:    make(map[grantKey]grant),
		origin:    link{rate: 4 * size / window.Seconds()},
		thinRate:  1.05 * size / window.Seconds(),
		controlUp: true, originUp: true, membersUp: true,
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

// runUntil runs steps until done returns true, or until end, and returns what done
// reports then.
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
func (n *network) add(i int, incarnation identifier.Incarnation) *node {
	size := float64(n.versions[n.wanted.Manifest].manifest.Size())
	rate := 2 * size / window.Seconds()
	nd := &node{
		net: n,
		peer: fetcher.Peer{
			Upstream:         identifier.Upstream(fmt.Sprintf("upstream-%03d", i)),
			Region:           identifier.Region(fmt.Sprintf("region-%d", i%3)),
			AvailabilityZone: identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i/3%2)),
			Incarnation:      incarnation,
			Token:            identifier.FencingToken(len(n.nodes) + 1),
		},
		up: link{rate: rate}, down: link{rate: rate}, alive: true,
		stored:  make(map[identifier.Digest][]byte),
		pending: make(map[pendingKey]*pending),
		served:  make(map[fetcher.RequestID]*pending),
		readyAt: make(map[identifier.Digest]time.Duration),
	}
	cfg := n.cfg
	cfg.Self = nd.peer
	nd.f = fetcher.New(cfg, asserter.Strict{})
	n.nodes = append(n.nodes, nd)
	n.byName[nd.peer.Upstream] = nd
	n.after(time.Duration(n.rand.Int63n(int64(time.Second))), nd.tick)
	n.after(0, func() { nd.reduce(n.wanted) })
	return nd
}

// sendMembers sends the list of live instances to all of them.
func (n *network) sendMembers() {
	if !n.membersUp {
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
			nd.controlBytes += peerBytes
			nd.reduce(fetcher.PeersChanged{Manifest: n.wanted.Manifest, Peers: peers})
		}
	}
}

// start starts count instances that want the manifest.
func (n *network) start(count int, w fetcher.Wanted) {
	n.wanted = w
	for i := range count {
		n.add(i, 1)
	}
	n.after(time.Millisecond, n.sendMembers)
	for _, nd := range n.nodes {
		nd.controlBytes += peerBytes * count
	}
}

// changeVersion makes every instance want another version.
func (n *network) changeVersion(w fetcher.Wanted) {
	n.wanted = w
	for _, nd := range n.nodes {
		nd.reduce(w)
	}
	n.sendMembers()
}

// startReplacement starts another instance after the delay, in place of one that failed.
func (n *network) startReplacement(delay time.Duration) {
	n.after(delay, func() {
		n.add(len(n.nodes), 1)
		n.after(time.Second, n.sendMembers)
	})
}

// clearFaults ends every fault.
func (n *network) clearFaults() {
	n.controlUp, n.originUp, n.membersUp, n.corruptFraction = true, true, true, 0
	for _, nd := range n.nodes {
		nd.frozen, nd.corrupts = false, false
	}
	n.sendMembers()
}

// kill ends an instance. Control notices after the detection delay.
func (n *network) kill(nd *node, detection time.Duration) {
	nd.alive = false
	n.after(detection, n.sendMembers)
}

// allReady reports whether every live instance has completed the wanted weights.
func (n *network) allReady() bool {
	for _, nd := range n.nodes {
		if _, ok := nd.readyAt[n.wanted.Manifest]; nd.alive && !ok {
			return false
		}
	}
	return true
}

func (nd *node) tick() {
	if !nd.alive {
		return
	}
	nd.reduce(fetcher.Ticked{})
	nd.net.after(time.Second, nd.tick)
}

func (nd *node) reduce(e fetcher.Event) {
	if !nd.alive {
		return
	}
	for _, effect := range nd.f.Reduce(nd.net.time(), e) {
		nd.apply(effect)
	}
}

func (nd *node) apply(effect fetcher.Effect) {
	n := nd.net
	switch e := effect.(type) {
	case fetcher.FetchManifest:
		n.after(n.latency(), func() { nd.reduce(fetcher.ManifestArrived{Manifest: n.versions[e.Manifest].manifest}) })
	case fetcher.FetchChunkFromPeer:
		nd.ask(e)
	case fetcher.FetchChunkFromOrigin:
		nd.readOrigin(e)
	case fetcher.CancelFetch:
		nd.cancel(pendingKey{e.Manifest, e.Chunk, e.Source})
	case fetcher.RequestOriginLease:
		nd.controlBytes += leaseBytes
		n.after(n.latency(), func() { nd.reduce(n.grantLease(nd, e)) })
	case fetcher.SendChunk:
		nd.send(e)
	case fetcher.RefuseChunk:
		nd.refuse(e)
	case fetcher.ReportChunkDelay:
		nd.delay(e)
	case fetcher.VerifyFiles:
		n.after(0, func() { nd.verify(n.versions[e.Manifest].manifest) })
	case fetcher.Completed:
		require.False(n.t, e.Weights.IsZero())
		nd.readyAt[e.Weights.Manifest().Digest()] = n.now
	case fetcher.DropChunks:
		for _, d := range e.Digests {
			delete(nd.stored, d)
		}
	default:
		nd.effects = append(nd.effects, effect)
	}
}

// verify reads the files back from the chunks that the instance itself has stored.
func (nd *node) verify(m *verifier.Manifest) {
	weights, err := m.VerifyFiles(func(f verifier.File) (io.ReadCloser, error) {
		var data []byte
		for _, d := range f.Chunks {
			data = append(data, nd.stored[d]...)
		}
		return fstest.MapFS{"f": {Data: data}}.Open("f")
	})
	require.NoError(nd.net.t, err)
	nd.reduce(fetcher.FilesVerified{Weights: weights})
}

func (n *network) latency() time.Duration {
	return time.Millisecond + time.Duration(n.rand.Int63n(int64(time.Millisecond)))
}

func (nd *node) ask(e fetcher.FetchChunkFromPeer) {
	n := nd.net
	nd.controlBytes += requestBytes
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
		server.reduce(fetcher.ChunkRequested{
			Request: p.id, Manifest: e.Manifest, Chunk: e.Chunk, Peer: nd.peer.Upstream, Wait: e.Wait,
		})
	})
}

func (nd *node) fail(p *pending, reason fetcher.Reason, retry time.Duration) {
	if nd.pending[p.key] != p {
		return
	}
	delete(nd.pending, p.key)
	nd.reduce(fetcher.ChunkFailed{
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
				p.server.reduce(fetcher.RequestEnded{Request: p.id})
			}
		})
	}
}

func (nd *node) refuse(e fetcher.RefuseChunk) {
	p := nd.served[e.Request]
	delete(nd.served, e.Request)
	p.child.controlBytes += answerBytes
	nd.net.after(nd.net.latency(), func() { p.child.fail(p, e.Reason, e.RetryAfter) })
}

func (nd *node) delay(e fetcher.ReportChunkDelay) {
	nd.reportDelay(nd.served[e.Request])
}

func (nd *node) reportDelay(p *pending) {
	p.child.controlBytes += answerBytes
	nd.net.after(nd.net.latency(), func() {
		if !nd.frozen && !p.child.frozen && p.child.pending[p.key] == p {
			p.child.reduce(fetcher.ChunkDelayed{Manifest: p.key.manifest, Chunk: p.key.chunk, Source: p.key.source})
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
	start := max(n.now, nd.up.freeAt)
	sent := nd.up.transmit(n.now, len(data))
	n.after(sent-n.now, func() { nd.reduce(fetcher.RequestEnded{Request: e.Request}) })
	if nd.frozen || p.child.frozen {
		return
	}
	if nd.peer.Region != p.child.peer.Region {
		n.after(sent-n.now, func() { nd.cross(p, data) })
		return
	}
	nd.deliver(p, data, start, sent)
}

// cross sends a chunk over a thin link. While the link is busy the sender keeps the
// chunk and reports the delay, and it drops the chunk if the request is cancelled.
func (nd *node) cross(p *pending, data []byte) {
	n := nd.net
	thinLink := n.thinLinks[[2]identifier.Region{nd.peer.Region, p.child.peer.Region}]
	if thinLink == nil {
		thinLink = &link{rate: n.thinRate}
		n.thinLinks[[2]identifier.Region{nd.peer.Region, p.child.peer.Region}] = thinLink
	}
	switch {
	case p.cancelled || !nd.alive:
	case thinLink.freeAt > n.now:
		if n.now-p.reported >= n.cfg.ProgressDeadline/4 {
			p.reported = n.now
			nd.reportDelay(p)
		}
		n.after(thinLink.freeAt-n.now+time.Duration(n.rand.Int63n(int64(time.Millisecond))), func() { nd.cross(p, data) })
	default:
		nd.deliver(p, data, n.now, thinLink.transmit(n.now, len(data)))
	}
}

// deliver delivers a chunk that left the sender between start and sent.
func (nd *node) deliver(p *pending, data []byte, start, sent time.Duration) {
	n := nd.net
	if nd.corrupts || n.rand.Float64() < n.corruptFraction {
		data = append([]byte{data[0] + 1}, data[1:]...)
	}
	p.child.controlBytes += answerBytes
	p.child.receive(p, data, start, sent)
}

// receive receives bytes that left the sender between start and sent.
func (nd *node) receive(p *pending, data []byte, start, sent time.Duration) {
	n := nd.net
	done := max(sent, nd.down.transmit(start, len(data))) + n.latency()
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
		nd.reduce(fetcher.ChunkArrived{Manifest: p.key.manifest, Chunk: chunk, Source: p.key.source})
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
	require.True(n.t, n.useGrant(nd, e), "chunk %d is read without a lease", e.Chunk)
	v := n.versions[e.Manifest]
	l, _ := v.manifest.Chunk(e.Chunk)
	data := v.data[l.Digest]
	start := max(n.now, n.origin.freeAt)
	sent := n.origin.transmit(n.now, len(data))
	if n.rand.Float64() < n.corruptFraction {
		data = append([]byte{data[0] + 1}, data[1:]...)
	}
	nd.receive(p, data, start, sent)
}

// useGrant uses up the grant of a read, of whichever copy, and reports false if there
// is none.
func (n *network) useGrant(nd *node, e fetcher.FetchChunkFromOrigin) bool {
	for c := range 4 {
		key := grantKey{e.Manifest, e.Chunk, c}
		g, ok := n.grants[key]
		if ok && g.holder == nd.peer.Upstream && g.incarnation == nd.peer.Incarnation && g.expires > n.now && !g.read {
			g.read = true
			n.grants[key] = g
			return true
		}
	}
	return false
}

// grantLease simulates control's ledger of origin reads.
func (n *network) grantLease(nd *node, e fetcher.RequestOriginLease) fetcher.OriginLeaseAnswered {
	const leaseDuration = 60 * time.Second
	answer := fetcher.OriginLeaseAnswered{Manifest: e.Manifest, Chunks: e.Chunks, Copy: e.Copy}
	if !n.controlUp {
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
		valid := n.byName[g.holder].alive && (!e.Regrant || running)
		if g.holder == nd.peer.Upstream {
			valid = running && !e.Regrant
		}
		if valid {
			answer.Held, answer.Holder = true, g.holder
			return answer
		}
	}
	for i := range e.Chunks.Count {
		key := grantKey{e.Manifest, e.Chunks.First + verifier.ChunkIndex(i), e.Copy}
		n.grants[key] = grant{nd.peer.Upstream, nd.peer.Incarnation, n.now + leaseDuration, false}
	}
	if overlaps {
		n.regranted += e.Chunks.Count
	}
	n.granted += e.Size
	answer.Granted, answer.Expires = true, n.time().Add(leaseDuration)
	return answer
}

// originCopies returns how many copies of the wanted weights the origin has sent.
func (n *network) originCopies() float64 {
	return float64(n.origin.sent) / float64(n.versions[n.wanted.Manifest].manifest.Size())
}

// thinCopies returns the most copies that any thin link has transmitted in one direction.
func (n *network) thinCopies() float64 {
	most := 0
	for _, l := range n.thinLinks {
		most = max(most, l.sent)
	}
	return float64(most) / float64(n.versions[n.wanted.Manifest].manifest.Size())
}

// controlRate returns the control bytes a second of the instance that has the most.
func (n *network) controlRate() float64 {
	most := 0
	for _, nd := range n.nodes {
		most = max(most, nd.controlBytes)
	}
	return float64(most) / n.now.Seconds()
}
