package replicator_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

const (
	tickEvery     = 20 * time.Millisecond
	snapshotEvery = 12
	snapshotBytes = 150
)

var worldConfig = replicator.Config{
	HeartbeatInterval: 50 * time.Millisecond,
	ElectionTimeout:   300 * time.Millisecond,
	MaxAppendBytes:    64,
	MaxAppendEntries:  4,
	MaxInflight:       3,
	SnapshotChunk:     64,
	KeepEntries:       5,
}

// tester is what both *testing.T and *rapid.T offer.
type tester interface {
	require.TestingT
	Helper()
}

// step is something that happens at a time. Steps of one time keep their order.
type step struct {
	at    time.Time
	order int
	run   func()
}

type agenda []step

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(step)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

type link struct{ from, to netip.AddrPort }

// world is some replicas on one network with faults, and what an observer who
// sees everything knows of them.
type world struct {
	t      tester
	random *rand.Rand
	start  time.Time
	now    time.Time
	agenda agenda
	order  int
	nodes  []*node
	disks  int

	loss, duplication float64
	maxDelay          time.Duration
	cut               map[link]bool

	nextID   replicator.RequestID
	log      map[recorder.Index]recorder.Entry
	states   map[recorder.Index]uint64
	highest  recorder.Index
	leaders  map[recorder.Term]identifier.Replica
	lost     map[identifier.Replica]bool
	answers  map[replicator.RequestID]replicator.Effect
	reads    map[replicator.RequestID]recorder.Index
	proposed map[replicator.RequestID]replicator.Accepted
}

// node is one replica: its reducer, its disk and its state machine.
type node struct {
	w       *world
	name    string
	addr    netip.AddrPort
	replica identifier.Replica
	reducer *replicator.Replicator
	running bool
	frozen  bool
	life    int
	rate    float64
	waiting []replicator.Event

	slowDisk bool
	durable  recorder.State
	writes   []replicator.Effect
	syncAt   time.Time

	state      uint64
	applied    recorder.Position
	snapshotAt recorder.Index
	membership recorder.Membership
}

func newWorld(t tester, seed uint64, n int) *world {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		maxDelay: 5 * time.Millisecond,
		cut:      make(map[link]bool),
		log:      make(map[recorder.Index]recorder.Entry),
		states:   make(map[recorder.Index]uint64),
		leaders:  make(map[recorder.Term]identifier.Replica),
		lost:     make(map[identifier.Replica]bool),
		answers:  make(map[replicator.RequestID]replicator.Effect),
		reads:    make(map[replicator.RequestID]recorder.Index),
		proposed: make(map[replicator.RequestID]replicator.Accepted),
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("c%d", i+1), addr: addr, rate: 1})
	}
	for _, n := range w.nodes {
		n.newDisk()
	}
	return w
}

// String returns the state of every node.
func (w *world) String() string {
	var b strings.Builder
	for _, n := range w.nodes {
		if n.reducer != nil {
			fmt.Fprintf(&b, "\n%s running=%t frozen=%t %+v", n.name, n.running, n.frozen, n.reducer.Status())
		}
	}
	return b.String()
}

func (w *world) schedule(after time.Duration, run func()) {
	w.order++
	heap.Push(&w.agenda, step{at: w.now.Add(after), order: w.order, run: run})
}

// advance lets the time pass.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		s := heap.Pop(&w.agenda).(step)
		w.now = s.at
		s.run()
	}
	w.now = end
}

// advanceUntil lets the time pass until done, for a bounded simulated time.
func (w *world) advanceUntil(what string, done func() bool) {
	w.t.Helper()
	const limit = 120 * time.Second
	for end := w.now.Add(limit); !done(); w.advance(tickEvery) {
		require.True(w.t, w.now.Before(end), "not reached: %s: %s", what, w)
	}
}

func (w *world) deliver(from netip.AddrPort, s replicator.Send) {
	if w.cut[link{from, s.To}] || w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplication {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(w.maxDelay) + 1))
		w.schedule(delay, func() {
			for _, n := range w.nodes {
				if n.addr == s.To {
					n.feed(replicator.Received{Message: s.Message})
				}
			}
		})
	}
}

func (n *node) newDisk() {
	n.w.disks++
	if n.replica != "" {
		n.w.lost[n.replica] = true
	}
	n.replica = identifier.Replica(fmt.Sprintf("%s-%d", n.name, n.w.disks))
	n.durable = recorder.State{}
}

// boot starts the replica from its disk.
func (n *node) boot() {
	cfg := worldConfig
	cfg.Replica, cfg.Name, cfg.Addr = n.replica, n.name, n.addr
	for _, other := range n.w.nodes {
		cfg.Founders = append(cfg.Founders, replicator.Founder{Name: other.name, Addr: other.addr})
	}
	n.life++
	n.running, n.frozen = true, false
	n.writes, n.waiting = nil, nil
	n.state, n.applied, n.snapshotAt, n.membership = 0, recorder.Position{}, 0, recorder.Membership{}
	if s := n.durable.Snapshot; s != nil {
		n.restore(*s)
	}
	stored := n.durable
	stored.Entries = slices.Clone(stored.Entries)
	n.reducer = replicator.New(cfg, stored, asserter.Strict{})
	n.tick(n.life)
}

func (n *node) tick(life int) {
	if !n.running || n.life != life {
		return
	}
	if !n.frozen {
		n.feed(replicator.Ticked{Jitter: n.w.random.Float64()})
	}
	n.w.schedule(time.Duration(float64(tickEvery)/n.rate), func() { n.tick(life) })
}

// crash ends the replica. Some of what it had not synced may yet have reached the disk.
func (n *node) crash() {
	if !n.running {
		return
	}
	n.running = false
	n.life++
	for _, write := range n.writes[:n.w.random.IntN(len(n.writes)+1)] {
		n.store(write)
	}
	n.writes = nil
}

func (n *node) loseDisk() {
	n.crash()
	n.newDisk()
}

func (n *node) thaw() {
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, event := range waiting {
		n.feed(event)
	}
}

func (n *node) clock() time.Time {
	return n.w.start.Add(time.Duration(float64(n.w.now.Sub(n.w.start)) * n.rate))
}

func (n *node) feed(event replicator.Event) {
	if !n.running {
		return
	}
	if n.frozen {
		n.waiting = append(n.waiting, event)
		return
	}
	for _, effect := range n.reducer.Reduce(n.clock(), event) {
		n.carryOut(effect)
	}
}

func (n *node) carryOut(effect replicator.Effect) {
	w := n.w
	switch e := effect.(type) {
	case replicator.Persist:
		n.write(e)
	case replicator.Send:
		w.deliver(n.addr, e)
	case replicator.Apply:
		n.apply(e.Entries)
	case replicator.Restore:
		n.restore(e.Snapshot)
	case replicator.Accepted:
		w.proposed[e.ID] = e
	case replicator.Completed:
		w.answers[e.ID] = e
		if index, ok := w.reads[e.ID]; ok {
			require.GreaterOrEqual(w.t, n.applied.Index, index, "stale read at %s", n.replica)
		}
	case replicator.Rejected:
		w.answers[e.ID] = e
	case replicator.RoleChanged:
		if e.Role == replicator.Leader {
			known, ok := w.leaders[e.Term]
			require.True(w.t, !ok || known == n.replica, "leaders %s and %s in term %d", known, n.replica, e.Term)
			w.leaders[e.Term] = n.replica
		}
	}
}

// write queues a write. Writes end in order, each after a time of its own.
func (n *node) write(effect replicator.Effect) {
	n.writes = append(n.writes, effect)
	delay := time.Duration(n.w.random.Int64N(int64(2 * time.Millisecond)))
	if n.slowDisk {
		delay *= 100
	}
	n.syncAt = later(n.syncAt, n.w.now).Add(delay)
	life := n.life
	n.w.schedule(n.syncAt.Sub(n.w.now), func() { n.synced(life) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// snapshotWrite is the write of a snapshot of the replica's own state.
type snapshotWrite struct {
	replicator.Effect
	snapshot recorder.Snapshot
}

func (n *node) synced(life int) {
	if n.life != life || len(n.writes) == 0 {
		return
	}
	write := n.writes[0]
	n.writes = n.writes[1:]
	n.store(write)
	switch e := write.(type) {
	case replicator.Persist:
		n.feed(replicator.Persisted{Sequence: e.Sequence})
	case snapshotWrite:
		n.feed(replicator.SnapshotTaken{Snapshot: e.snapshot})
	}
}

// store writes to the disk what a recorder would take: no entry that a snapshot
// covers, no gap and no snapshot beyond the log.
func (n *node) store(write replicator.Effect) {
	var covered, last recorder.Index
	if s := n.durable.Snapshot; s != nil {
		covered = s.Position.Index
	}
	last = covered + recorder.Index(len(n.durable.Entries))
	switch e := write.(type) {
	case snapshotWrite:
		require.LessOrEqual(n.w.t, e.snapshot.Position.Index, last)
	case replicator.Persist:
		if len(e.Entries) > 0 {
			require.Greater(n.w.t, e.Entries[0].Index, covered)
			require.LessOrEqual(n.w.t, e.Entries[0].Index, last+1)
		}
	}
	n.durable = stored(n.durable, write)
}

// stored returns what a disk holds after the write.
func stored(s recorder.State, write replicator.Effect) recorder.State {
	switch e := write.(type) {
	case snapshotWrite:
		return withSnapshot(s, e.snapshot)
	case replicator.Persist:
		if e.Install != nil {
			s.Snapshot, s.Entries = e.Install, nil
		}
		if e.HardState != nil {
			s.HardState = *e.HardState
		}
		if len(e.Entries) > 0 {
			before := slices.IndexFunc(s.Entries, func(o recorder.Entry) bool { return o.Index >= e.Entries[0].Index })
			if before >= 0 {
				s.Entries = s.Entries[:before]
			}
			s.Entries = append(slices.Clone(s.Entries), e.Entries...)
		}
	}
	return s
}

func withSnapshot(s recorder.State, snapshot recorder.Snapshot) recorder.State {
	if s.Snapshot != nil && s.Snapshot.Position.Index >= snapshot.Position.Index {
		return s
	}
	s.Snapshot = &snapshot
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e recorder.Entry) bool {
		return e.Index <= snapshot.Position.Index
	})
	return s
}

// apply applies entries and compares them with what any replica applied before.
func (n *node) apply(entries []recorder.Entry) {
	w := n.w
	for _, e := range entries {
		require.Equal(w.t, n.applied.Index+1, e.Index, "gap in what %s applies", n.replica)
		n.state = xxhash.Sum64(binary.BigEndian.AppendUint64(slices.Clone(e.Data), n.state))
		n.applied = e.Position()
		if e.Membership != nil {
			n.membership = *e.Membership
		}
		w.committed(n, e)
	}
	if n.applied.Index-n.snapshotAt >= snapshotEvery {
		n.snapshotAt = n.applied.Index
		data := binary.BigEndian.AppendUint64(nil, n.state)
		data = append(data, make([]byte, snapshotBytes)...)
		snapshot := recorder.Snapshot{Position: n.applied, At: w.log[n.applied.Index].At, Membership: n.membership, Data: data}
		n.write(snapshotWrite{snapshot: snapshot})
	}
}

func (n *node) restore(s recorder.Snapshot) {
	n.state = binary.BigEndian.Uint64(s.Data)
	n.applied, n.snapshotAt, n.membership = s.Position, s.Position.Index, s.Membership
	known, ok := n.w.states[s.Position.Index]
	require.True(n.w.t, ok && known == n.state, "snapshot of entry %d has another state", s.Position.Index)
}

// committed notes that an entry was applied, and answers its proposer.
func (w *world) committed(n *node, e recorder.Entry) {
	known, ok := w.log[e.Index]
	if ok {
		require.Equal(w.t, known.Position(), e.Position(), "committed entry %d was replaced at %s", e.Index, n.replica)
		require.Equal(w.t, w.states[e.Index], n.state, "state after entry %d differs at %s", e.Index, n.replica)
		return
	}
	require.Equal(w.t, w.highest+1, e.Index, "committed entries were lost before %s applied entry %d", n.replica, e.Index)
	if before, ok := w.log[e.Index-1]; ok {
		require.False(w.t, e.At.Before(before.At), "time fell at entry %d", e.Index)
	}
	w.log[e.Index] = e
	w.states[e.Index] = n.state
	w.highest = e.Index
}

// membership returns the last committed membership.
func (w *world) membership() recorder.Membership {
	for i := w.highest; i > 0; i-- {
		if m := w.log[i].Membership; m != nil {
			return *m
		}
	}
	return recorder.Membership{}
}

// whole reports whether every voter still has its disk and no change is under way.
func (w *world) whole() bool {
	return w.settled() && w.lostVoters() == 0
}

// settled reports whether every node takes as many replicas for voters as there
// are nodes. Only then may a disk be lost: fewer voters bear fewer losses.
func (w *world) settled() bool {
	memberships := []recorder.Membership{w.membership()}
	for _, n := range w.nodes {
		var m recorder.Membership
		for _, member := range n.reducer.Status().Members {
			m.Members = append(m.Members, member.Member)
		}
		if len(m.Members) > 0 {
			memberships = append(memberships, m)
		}
	}
	for _, m := range memberships {
		if len(m.Members) != len(w.nodes) || m.Voters() != len(w.nodes) {
			return false
		}
	}
	return true
}

func (w *world) lostVoters() int {
	lost := 0
	for _, member := range w.membership().Members {
		if w.lost[member.Replica] {
			lost++
		}
	}
	return lost
}

// mayLoseDisk reports whether a majority of disks outlives one more loss.
func (w *world) mayLoseDisk() bool {
	return w.settled() && w.lostVoters() < (len(w.nodes)-1)/2
}

// repairing reports whether any member takes the node for a member too.
func (w *world) repairing(n *node) bool {
	for _, other := range w.nodes {
		if _, member := w.membership().Find(other.replica); other == n || !member {
			continue
		}
		for _, m := range other.reducer.Status().Members {
			if m.Replica == n.replica {
				return true
			}
		}
	}
	return false
}

func (w *world) leader() *node {
	for _, n := range w.nodes {
		if n.running && !n.frozen && n.reducer.Status().Role == replicator.Leader {
			return n
		}
	}
	return nil
}

func (w *world) propose(n *node) replicator.RequestID {
	w.nextID++
	data := binary.BigEndian.AppendUint64(nil, uint64(w.nextID))
	data = append(data, make([]byte, w.random.IntN(40))...)
	n.feed(replicator.Proposed{Proposals: []replicator.Proposal{{ID: w.nextID, Data: data}}})
	return w.nextID
}

func (w *world) read(n *node) replicator.RequestID {
	w.nextID++
	w.reads[w.nextID] = w.highest
	n.feed(replicator.ReadRequested{ID: w.nextID})
	return w.nextID
}

func (w *world) admit(n *node, name string) replicator.RequestID {
	w.nextID++
	n.feed(replicator.AdmitRequested{ID: w.nextID, Name: name})
	return w.nextID
}

// heal ends every fault.
func (w *world) heal() {
	w.loss, w.duplication = 0, 0
	w.maxDelay = 5 * time.Millisecond
	clear(w.cut)
	for _, n := range w.nodes {
		n.slowDisk = false
		if !n.running {
			n.boot()
		}
		if n.frozen {
			n.thaw()
		}
	}
}

// repairAll admits replicas that lost their disk until every node votes again.
// A replica that was removed comes back with an empty disk.
func (w *world) repairAll() {
	w.advanceUntil("every node votes", func() bool {
		leader := w.leader()
		if leader == nil {
			return false
		}
		for _, n := range w.nodes {
			_, member := w.membership().Find(n.replica)
			if w.highest > 0 && !member && n.reducer.Status().Last > 0 && !w.repairing(n) {
				n.loseDisk()
				n.boot()
			}
		}
		for _, j := range leader.reducer.Status().Joiners {
			w.admit(leader, j.Name)
		}
		w.takeBack(leader)
		return w.whole() && len(leader.reducer.Status().Joiners) == 0
	})
}

// takeBack removes learners whose disk is lost.
func (w *world) takeBack(leader *node) {
	for _, m := range leader.reducer.Status().Members {
		if !m.Voter && w.lost[m.Replica] {
			w.nextID++
			leader.feed(replicator.RemoveRequested{ID: w.nextID, Name: m.Name})
		}
	}
}

// converge waits until a new command is applied on every node.
func (w *world) converge() {
	w.advanceUntil("every node applies a new command", func() bool {
		if leader := w.leader(); leader != nil {
			w.propose(leader)
		}
		w.advance(500 * time.Millisecond)
		for _, n := range w.nodes {
			if n.applied.Index != w.highest || n.applied.Index == 0 {
				return false
			}
		}
		return true
	})
}
