package replicator_test

import (
	"cmp"
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
	"celeryvalve/repairer"
	"celeryvalve/replicator"
)

const (
	tickEvery     = 20 * time.Millisecond
	snapshotEvery = 12
	snapshotBytes = 150
)

var simulationConfig = replicator.Config{
	HeartbeatInterval: 50 * time.Millisecond,
	ElectionTimeout:   300 * time.Millisecond,
	MaxAppendBytes:    64,
	MaxAppendEntries:  4,
	MaxInflight:       3,
	SnapshotChunkSize: 64,
	KeepEntries:       5,

	MaxUnreceivedBytes: 128,
}

// tester is the part of *testing.T and *rapid.T that the simulation uses.
type tester interface {
	require.TestingT
	Helper()
}

// scheduledCall is a call at a simulated time. Calls at the same time run in the
// order in which they were scheduled.
type scheduledCall struct {
	at    time.Time
	order int
	run   func()
}

// callQueue is a heap of calls with the earliest first.
type callQueue []scheduledCall

func (a callQueue) Len() int { return len(a) }
func (a callQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a callQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *callQueue) Push(x any)   { *a = append(*a, x.(scheduledCall)) }
func (a *callQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

type link struct{ from, to netip.AddrPort }

// simulation runs replicas in simulated time on a network with faults. It records
// what each of them commits, applies and answers, and asserts the invariants.
type simulation struct {
	t            tester
	cfg          replicator.Config
	random       *rand.Rand
	start        time.Time
	now          time.Time
	pendingCalls callQueue
	nextOrder    int
	nodes        []*node
	diskCount    int

	loss, duplication float64
	maxDelay          time.Duration
	// cut holds the links that lose every message.
	cut map[link]bool
	// bandwidth is what each link carries a second, and links when it has carried what was sent
	// over it. Zero stands for no limit.
	bandwidth identifier.ByteCount
	links     map[link]time.Time
	// wide holds the links that have no limit.
	wide map[link]bool
	// entriesSent counts the entries that were sent over each link.
	entriesSent map[link]int
	// applyRate is how many bytes of commands, and of snapshots, a replica applies a second. It
	// handles no event meanwhile. Zero stands for no limit.
	applyRate identifier.ByteCount
	// groupWrites lets writes that wait during a sync share the next one.
	groupWrites bool
	// snapshotEvery is the number of entries after which a replica takes a snapshot, and commandBytes
	// the size of a command. Zero stands for the defaults.
	snapshotEvery recorder.Index
	commandBytes  int

	nextID replicator.RequestID
	// log and states hold the committed entries, and the hash of the state after
	// each of them.
	log           map[recorder.Index]recorder.Entry
	states        map[recorder.Index]uint64
	lastCommitted recorder.Index
	leaders       map[recorder.Term]identifier.Replica
	lostDisks     map[identifier.Replica]bool
	answers       map[replicator.RequestID]replicator.Effect
	// reads holds the last committed index at the time of each read request.
	reads    map[replicator.RequestID]recorder.Index
	proposed map[replicator.RequestID]replicator.Accepted
}

// node is one replica: its replicator, its disk and its state machine.
type node struct {
	sim          *simulation
	name         string
	addr         netip.AddrPort
	replica      identifier.Replica
	reducer      *replicator.Replicator
	running      bool
	frozen       bool
	generation   int
	clockRate    float64
	pausedEvents []replicator.Event
	// waitingEvents are those that came while the node applied entries, which it does until busyUntil.
	waitingEvents []replicator.Event
	busyUntil     time.Time

	// spare is set for a replica that is added to a running cluster: it knows no founders.
	spare    bool
	slowDisk bool
	durable  recorder.State
	writes   []replicator.Effect
	syncAt   time.Time
	// syncing is how many of writes the sync in progress covers, if writes are grouped.
	syncing int

	stateHash  uint64
	applied    recorder.Position
	snapshotAt recorder.Index
	membership recorder.Membership
	// exclusion is nil until the node has been observed.
	exclusion *repairer.Exclusion
}

func newSimulation(t tester, seed uint64, n int) *simulation {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		t: t, cfg: simulationConfig, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		maxDelay: 5 * time.Millisecond,
		cut:      make(map[link]bool),
		links:    make(map[link]time.Time),
		wide:     make(map[link]bool),

		entriesSent: make(map[link]int),
		log:         make(map[recorder.Index]recorder.Entry),
		states:      make(map[recorder.Index]uint64),
		leaders:     make(map[recorder.Term]identifier.Replica),
		lostDisks:   make(map[identifier.Replica]bool),
		answers:     make(map[replicator.RequestID]replicator.Effect),
		reads:       make(map[replicator.RequestID]recorder.Index),
		proposed:    make(map[replicator.RequestID]replicator.Accepted),
	}
	for range n {
		sim.addNode()
	}
	return sim
}

// addNode adds a node with an empty disk, which does not run yet.
func (sim *simulation) addNode() *node {
	i := len(sim.nodes)
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
	n := &node{sim: sim, name: fmt.Sprintf("c%d", i+1), addr: addr, clockRate: 1}
	sim.nodes = append(sim.nodes, n)
	n.newDisk()
	return n
}

// String returns the state of every node.
func (sim *simulation) String() string {
	var b strings.Builder
	for _, n := range sim.nodes {
		if n.reducer != nil {
			fmt.Fprintf(&b, "\n%s running=%t frozen=%t %+v", n.name, n.running, n.frozen, n.reducer.Status())
		}
	}
	return b.String()
}

func (sim *simulation) schedule(after time.Duration, run func()) {
	sim.nextOrder++
	heap.Push(&sim.pendingCalls, scheduledCall{at: sim.now.Add(after), order: sim.nextOrder, run: run})
}

// advance lets simulated time pass and runs the calls that are due.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.pendingCalls) > 0 && !sim.pendingCalls[0].at.After(end) {
		call := heap.Pop(&sim.pendingCalls).(scheduledCall)
		sim.now = call.at
		call.run()
	}
	sim.now = end
}

// advanceUntil lets simulated time pass until done returns true, and fails after a
// limit.
func (sim *simulation) advanceUntil(what string, done func() bool) {
	sim.t.Helper()
	const limit = 120 * time.Second
	for end := sim.now.Add(limit); !done(); sim.advance(tickEvery) {
		require.True(sim.t, sim.now.Before(end), "not reached: %s: %s", what, sim)
	}
}

func (sim *simulation) deliver(from netip.AddrPort, s replicator.Send) {
	if m, ok := s.Message.(*replicator.AppendRequest); ok {
		sim.entriesSent[link{from, s.To}] += len(m.Entries)
	}
	if sim.cut[link{from, s.To}] || sim.random.Float64() < sim.loss {
		return
	}
	copies := 1
	if sim.random.Float64() < sim.duplication {
		copies = 2
	}
	for range copies {
		delay := sim.transmit(link{from, s.To}, s.Message) + time.Duration(sim.random.Int64N(int64(sim.maxDelay)+1))
		sim.schedule(delay, func() {
			for _, n := range sim.nodes {
				if n.addr == s.To {
					n.feed(replicator.Received{Message: s.Message})
				}
			}
		})
	}
}

// transmit returns how long the link needs to carry the message after those before it.
func (sim *simulation) transmit(l link, message replicator.Message) time.Duration {
	if sim.bandwidth == 0 || sim.wide[l] {
		return 0
	}
	free := later(sim.links[l], sim.now).Add(timeFor(messageBytes(message), sim.bandwidth))
	sim.links[l] = free
	return free.Sub(sim.now)
}

func timeFor(n, rate identifier.ByteCount) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}

// messageBytes returns about how long the encoded message is.
func messageBytes(message replicator.Message) identifier.ByteCount {
	const envelope = 200
	n := identifier.ByteCount(envelope)
	switch m := message.(type) {
	case *replicator.AppendRequest:
		for _, e := range m.Entries {
			n += identifier.ByteCount(len(e.Data))
		}
	case *replicator.SnapshotRequest:
		n += identifier.ByteCount(len(m.Data))
	}
	return n
}

func (n *node) newDisk() {
	n.sim.diskCount++
	if n.replica != "" {
		n.sim.lostDisks[n.replica] = true
	}
	n.replica = identifier.Replica(fmt.Sprintf("%s-%d", n.name, n.sim.diskCount))
	n.durable = recorder.State{}
}

// boot starts the replica from its disk.
func (n *node) boot() {
	cfg := n.sim.cfg
	cfg.Replica, cfg.Name, cfg.Addr = n.replica, n.name, n.addr
	var contacts []netip.AddrPort
	for _, other := range n.sim.nodes {
		contacts = append(contacts, other.addr)
		if !n.spare && !other.spare {
			cfg.Founders = append(cfg.Founders, recorder.Founder{Name: other.name, Addr: other.addr})
		}
	}
	n.generation++
	n.running, n.frozen = true, false
	n.writes, n.syncing = nil, 0
	n.pausedEvents, n.waitingEvents, n.busyUntil = nil, nil, time.Time{}
	n.stateHash, n.applied, n.snapshotAt, n.membership = 0, recorder.Position{}, 0, recorder.Membership{}
	if s := n.durable.Snapshot; s != nil {
		n.restore(*s)
	}
	stored := n.durable
	stored.Entries = slices.Clone(stored.Entries)
	n.reducer = replicator.New(cfg, stored, asserter.Strict{})
	n.feed(replicator.ContactsChanged{Addrs: contacts})
	n.tick(n.generation)
}

func (n *node) tick(generation int) {
	if !n.running || n.generation != generation {
		return
	}
	if !n.frozen {
		n.feed(replicator.Ticked{Jitter: n.sim.random.Float64()})
	}
	n.sim.schedule(time.Duration(float64(tickEvery)/n.clockRate), func() { n.tick(generation) })
}

// crash stops the replica. A random number of its unsynced writes, in order, still
// reaches the disk.
func (n *node) crash() {
	if !n.running {
		return
	}
	n.running = false
	n.generation++
	for _, write := range n.writes[:n.sim.random.IntN(len(n.writes)+1)] {
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
	events := n.pausedEvents
	n.pausedEvents = nil
	for _, event := range events {
		n.feed(event)
	}
}

func (n *node) clock() time.Time {
	return n.sim.start.Add(time.Duration(float64(n.sim.now.Sub(n.sim.start)) * n.clockRate))
}

func (n *node) feed(event replicator.Event) {
	if !n.running {
		return
	}
	if n.frozen {
		n.pausedEvents = append(n.pausedEvents, event)
		return
	}
	if n.sim.now.Before(n.busyUntil) {
		n.wait(event)
		return
	}
	for _, effect := range n.reducer.Reduce(n.clock(), event) {
		n.execute(effect)
	}
}

// wait keeps an event until the node has applied its entries.
func (n *node) wait(event replicator.Event) {
	n.waitingEvents = append(n.waitingEvents, event)
	if len(n.waitingEvents) == 1 {
		generation := n.generation
		n.sim.schedule(n.busyUntil.Sub(n.sim.now), func() { n.resume(generation) })
	}
}

// resume handles the events that waited, until one of them makes the node busy again.
func (n *node) resume(generation int) {
	if n.generation != generation {
		return
	}
	events := n.waitingEvents
	n.waitingEvents = nil
	for _, event := range events {
		n.feed(event)
	}
}

// work makes the node busy for as long as it takes to apply n bytes.
func (n *node) work(size int) {
	if n.sim.applyRate > 0 {
		n.busyUntil = later(n.busyUntil, n.sim.now).Add(timeFor(identifier.ByteCount(size), n.sim.applyRate))
	}
}

func (n *node) execute(effect replicator.Effect) {
	sim := n.sim
	switch e := effect.(type) {
	case replicator.Persist:
		n.write(e)
	case replicator.Send:
		sim.deliver(n.addr, e)
	case replicator.Apply:
		n.apply(e.Entries)
	case replicator.Restore:
		n.restore(e.Snapshot)
	case replicator.CaptureState:
		captured := replicator.StateCaptured{Snapshot: n.capture()}
		generation := n.generation
		sim.schedule(0, func() {
			if n.generation == generation {
				n.feed(captured)
			}
		})
	case replicator.Accepted:
		sim.proposed[e.ID] = e
	case replicator.Completed:
		sim.answers[e.ID] = e
		if index, ok := sim.reads[e.ID]; ok {
			require.GreaterOrEqual(sim.t, n.applied.Index, index, "stale read at %s", n.replica)
		}
	case replicator.Rejected:
		sim.answers[e.ID] = e
	case replicator.RoleChanged:
		if e.Role == replicator.Leader {
			known, ok := sim.leaders[e.Term]
			require.True(sim.t, !ok || known == n.replica, "leaders %s and %s in term %d", known, n.replica, e.Term)
			sim.leaders[e.Term] = n.replica
		}
	}
}

// write queues a write. Writes are synced in order, each after a random delay.
func (n *node) write(effect replicator.Effect) {
	n.writes = append(n.writes, effect)
	if n.sim.groupWrites {
		n.syncNext()
		return
	}
	n.syncAt = later(n.syncAt, n.sim.now).Add(n.syncTime())
	generation := n.generation
	n.sim.schedule(n.syncAt.Sub(n.sim.now), func() { n.completeWrite(generation) })
}

func (n *node) syncTime() time.Duration {
	delay := time.Duration(n.sim.random.Int64N(int64(2 * time.Millisecond)))
	if n.slowDisk {
		delay *= 100
	}
	return delay
}

// snapshotSyncs is how many syncs it takes to write a snapshot and to begin a new segment.
const snapshotSyncs = 6

// syncNext begins the next sync, unless one is in progress: of one snapshot, or of all writes
// before the next snapshot.
func (n *node) syncNext() {
	if n.syncing > 0 || len(n.writes) == 0 {
		return
	}
	delay := n.syncTime()
	n.syncing = max(1, slices.IndexFunc(n.writes, isSnapshot))
	if !slices.ContainsFunc(n.writes, isSnapshot) {
		n.syncing = len(n.writes)
	}
	if isSnapshot(n.writes[0]) {
		delay *= snapshotSyncs
	}
	generation := n.generation
	n.sim.schedule(delay, func() { n.completeSync(generation) })
}

func isSnapshot(write replicator.Effect) bool {
	persist, ok := write.(replicator.Persist)
	return !ok || persist.Install != nil
}

func (n *node) completeSync(generation int) {
	if n.generation != generation {
		return
	}
	for range n.syncing {
		n.completeWrite(generation)
	}
	n.syncing = 0
	n.syncNext()
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

func (n *node) completeWrite(generation int) {
	if n.generation != generation || len(n.writes) == 0 {
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

// store writes to the disk. It asserts what a recorder requires: no entry that a
// snapshot covers, no gap and no snapshot beyond the log.
func (n *node) store(write replicator.Effect) {
	var covered, last recorder.Index
	if s := n.durable.Snapshot; s != nil {
		covered = s.Position.Index
	}
	last = covered + recorder.Index(len(n.durable.Entries))
	switch e := write.(type) {
	case snapshotWrite:
		require.LessOrEqual(n.sim.t, e.snapshot.Position.Index, last)
	case replicator.Persist:
		if len(e.Entries) > 0 {
			require.Greater(n.sim.t, e.Entries[0].Index, covered)
			require.LessOrEqual(n.sim.t, e.Entries[0].Index, last+1)
		}
	}
	n.durable = applyWrite(n.durable, write)
}

// applyWrite returns the contents of a disk after the write.
func applyWrite(s recorder.State, write replicator.Effect) recorder.State {
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
		s.Committed = max(s.Committed, e.Committed)
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

// apply applies entries and compares them with those that other replicas applied.
func (n *node) apply(entries []recorder.Entry) {
	sim := n.sim
	for _, e := range entries {
		require.Equal(sim.t, n.applied.Index+1, e.Index, "gap in the entries that %s applies", n.replica)
		n.stateHash = xxhash.Sum64(binary.BigEndian.AppendUint64(slices.Clone(e.Data), n.stateHash))
		n.work(len(e.Data))
		n.applied = e.Position()
		if e.Membership != nil {
			n.membership = *e.Membership
		}
		sim.committed(n, e)
	}
	if n.applied.Index-n.snapshotAt >= cmp.Or(sim.snapshotEvery, snapshotEvery) {
		n.snapshotAt = n.applied.Index
		n.write(snapshotWrite{snapshot: n.capture()})
	}
}

// capture returns the state of the node as a snapshot. It is as large as a command, but for
// the defaults.
func (n *node) capture() recorder.Snapshot {
	data := binary.BigEndian.AppendUint64(nil, n.stateHash)
	data = append(data, make([]byte, cmp.Or(n.sim.commandBytes, snapshotBytes))...)
	return recorder.Snapshot{Position: n.applied, At: n.sim.log[n.applied.Index].At, Membership: n.membership, Data: data}
}

func (n *node) restore(s recorder.Snapshot) {
	n.stateHash = binary.BigEndian.Uint64(s.Data)
	n.work(len(s.Data))
	n.applied, n.snapshotAt, n.membership = s.Position, s.Position.Index, s.Membership
	known, ok := n.sim.states[s.Position.Index]
	require.True(n.sim.t, ok && known == n.stateHash, "snapshot of entry %d has another state", s.Position.Index)
}

// committed records that a node applied an entry. It asserts that the entry and the
// resulting state are the same on every node.
func (sim *simulation) committed(n *node, e recorder.Entry) {
	known, ok := sim.log[e.Index]
	if ok {
		require.Equal(sim.t, known.Position(), e.Position(), "committed entry %d was replaced at %s", e.Index, n.replica)
		require.Equal(sim.t, sim.states[e.Index], n.stateHash, "state after entry %d differs at %s", e.Index, n.replica)
		return
	}
	require.Equal(sim.t, sim.lastCommitted+1, e.Index, "committed entries were lost before %s applied entry %d", n.replica, e.Index)
	if before, ok := sim.log[e.Index-1]; ok {
		require.False(sim.t, e.At.Before(before.At), "the time of entry %d is before that of the previous entry", e.Index)
	}
	sim.log[e.Index] = e
	sim.states[e.Index] = n.stateHash
	sim.lastCommitted = e.Index
}

// membership returns the last committed membership.
func (sim *simulation) membership() recorder.Membership {
	for i := sim.lastCommitted; i > 0; i-- {
		if m := sim.log[i].Membership; m != nil {
			return *m
		}
	}
	return recorder.Membership{}
}

// fullyRepaired reports whether every node votes, no voter has lost its disk and no
// membership change is in progress.
func (sim *simulation) fullyRepaired() bool {
	return sim.settled() && sim.lostVoters() == 0
}

// settled reports whether every known membership has as many voters as there are
// nodes, and no other members. Only then may a disk be lost: fewer voters tolerate
// fewer losses.
func (sim *simulation) settled() bool {
	memberships := []recorder.Membership{sim.membership()}
	for _, n := range sim.nodes {
		var m recorder.Membership
		for _, member := range n.reducer.Status().Members {
			m.Members = append(m.Members, member.Member)
		}
		if len(m.Members) > 0 {
			memberships = append(memberships, m)
		}
	}
	for _, m := range memberships {
		if len(m.Members) != len(sim.nodes) || m.Voters() != len(sim.nodes) {
			return false
		}
	}
	return true
}

func (sim *simulation) lostVoters() int {
	lost := 0
	for _, member := range sim.membership().Members {
		if sim.lostDisks[member.Replica] {
			lost++
		}
	}
	return lost
}

// mayLoseDisk reports whether a majority of disks remains after one more loss.
func (sim *simulation) mayLoseDisk() bool {
	return sim.settled() && sim.lostVoters() < (len(sim.nodes)-1)/2
}

// listedByMember reports whether the membership of any other member contains the
// node.
func (sim *simulation) listedByMember(n *node) bool {
	for _, other := range sim.nodes {
		if _, member := sim.membership().Find(other.replica); other == n || !member {
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

func (sim *simulation) leader() *node {
	for _, n := range sim.nodes {
		if n.running && !n.frozen && n.reducer.Status().Role == replicator.Leader {
			return n
		}
	}
	return nil
}

func (sim *simulation) propose(n *node) replicator.RequestID {
	sim.nextID++
	data := binary.BigEndian.AppendUint64(nil, uint64(sim.nextID))
	if sim.commandBytes > 0 {
		data = append(data, make([]byte, sim.commandBytes)...)
	} else {
		data = append(data, make([]byte, sim.random.IntN(40))...)
	}
	n.feed(replicator.Proposed{Proposals: []replicator.Proposal{{ID: sim.nextID, Data: data}}})
	return sim.nextID
}

func (sim *simulation) read(n *node) replicator.RequestID {
	sim.nextID++
	sim.reads[sim.nextID] = sim.lastCommitted
	n.feed(replicator.ReadRequested{ID: sim.nextID})
	return sim.nextID
}

func (sim *simulation) admit(n *node, name string) replicator.RequestID {
	sim.nextID++
	n.feed(replicator.AdmitRequested{ID: sim.nextID, Name: name})
	return sim.nextID
}

// heal ends every fault.
func (sim *simulation) heal() {
	sim.loss, sim.duplication = 0, 0
	sim.maxDelay = 5 * time.Millisecond
	clear(sim.cut)
	for _, n := range sim.nodes {
		n.slowDisk = false
		if !n.running {
			n.boot()
		}
		if n.frozen {
			n.thaw()
		}
	}
}

// repairAll admits the replicas that lost their disk, until every node votes. A
// replica that was removed is restarted with an empty disk.
func (sim *simulation) repairAll() {
	sim.advanceUntil("every node votes", func() bool {
		leader := sim.leader()
		if leader == nil {
			return false
		}
		for _, n := range sim.nodes {
			_, member := sim.membership().Find(n.replica)
			if sim.lastCommitted > 0 && !member && n.reducer.Status().Last > 0 && !sim.listedByMember(n) {
				n.loseDisk()
				n.boot()
			}
		}
		for _, j := range leader.reducer.Status().Joiners {
			sim.admit(leader, j.Name)
		}
		sim.removeLostLearners(leader)
		return sim.fullyRepaired() && len(leader.reducer.Status().Joiners) == 0
	})
}

// removeLostLearners removes learners whose disk is lost.
func (sim *simulation) removeLostLearners(leader *node) {
	for _, m := range leader.reducer.Status().Members {
		if !m.Voter && sim.lostDisks[m.Replica] {
			sim.nextID++
			leader.feed(replicator.RemoveRequested{ID: sim.nextID, Name: m.Name})
		}
	}
}

// converge proposes commands until one is applied on every node.
func (sim *simulation) converge() {
	sim.advanceUntil("every node applies a new command", func() bool {
		if leader := sim.leader(); leader != nil {
			sim.propose(leader)
		}
		sim.advance(500 * time.Millisecond)
		for _, n := range sim.nodes {
			if n.applied.Index != sim.lastCommitted || n.applied.Index == 0 {
				return false
			}
		}
		return true
	})
}
