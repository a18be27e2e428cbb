package coordinator_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/coordinator"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/recorder"
)

// sum is a state machine that adds up the numbers at the beginning of commands and counts them.
type sum struct {
	// ballast is the size of what the state holds beside the numbers.
	ballast int

	mu    sync.Mutex
	total uint64
	count uint64
}

func (s *sum) Apply(_ uint64, _ time.Time, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += binary.BigEndian.Uint64(data)
	s.count++
	return s.total
}

func (s *sum) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := binary.BigEndian.AppendUint64(nil, s.total)
	data = binary.BigEndian.AppendUint64(data, s.count)
	return append(data, make([]byte, s.ballast)...), nil
}

func (s *sum) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(data) != 16+s.ballast {
		return errors.New("snapshot has the wrong size")
	}
	s.total = binary.BigEndian.Uint64(data)
	s.count = binary.BigEndian.Uint64(data[8:])
	return nil
}

func (s *sum) value() (total, count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.count
}

func number(n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, n)
}

// network delivers messages between the replicas, encoded and decoded as on the
// wire. Messages from and to addresses in cut are lost.
type network struct {
	codec *encoder.Codec

	mu    sync.Mutex
	nodes map[netip.AddrPort]*coordinator.Coordinator
	cut   map[netip.AddrPort]bool
}

func newNetwork(t testing.TB) *network {
	codec, err := encoder.New(coordinator.Messages()...)
	require.NoError(t, err)
	return &network{
		codec: codec,
		nodes: make(map[netip.AddrPort]*coordinator.Coordinator),
		cut:   make(map[netip.AddrPort]bool),
	}
}

// nodeTransport is the transport of one replica on the network.
type nodeTransport struct {
	network *network
	from    netip.AddrPort
}

func (p nodeTransport) Send(to netip.AddrPort, msg any) {
	p.deliver(to, p.encode(msg))
}

func (p nodeTransport) encode(msg any) []byte {
	frame, err := p.network.codec.Encode(0, msg)
	if err != nil {
		panic(err)
	}
	return frame
}

func (p nodeTransport) deliver(to netip.AddrPort, frame []byte) {
	n := p.network
	n.mu.Lock()
	node := n.nodes[to]
	cut := n.cut[p.from] || n.cut[to] || n.nodes[p.from] == nil
	n.mu.Unlock()
	if node == nil || cut {
		return
	}
	_, decoded, err := n.codec.Decode(frame)
	if err != nil {
		panic(err)
	}
	node.Receive(p.from, decoded)
}

func (n *network) setCut(addr netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

// countingReader takes the place of the random source, so that every disk gets a
// different but reproducible identity.
type countingReader struct{ n uint64 }

func (c *countingReader) Read(p []byte) (int, error) {
	c.n++
	binary.BigEndian.PutUint64(p, c.n)
	return len(p), nil
}

// node is one replica with its disk.
type node struct {
	*coordinator.Coordinator
	member  coordinator.Member
	store   *recorder.Recorder
	sum     *sum
	metrics *metrics.Set
}

// cluster is a group of replicas on one network. The entry of a stopped replica
// in nodes is nil.
type cluster struct {
	t       testing.TB
	folder  string
	network *network
	clocks  []clockwork.Clock
	random  io.Reader
	cfg     coordinator.Config
	// ballast is that of each replica's sum.
	ballast int
	nodes   []*node
	// repeated and repeatedSum are the number and the sum of the values that were proposed
	// again after an unknown outcome.
	repeated, repeatedSum atomic.Uint64
}

// newCluster returns n replicas that are not started, each with its own clock.
func newCluster(t testing.TB, n int, clock func() clockwork.Clock) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), network: newNetwork(t), random: &countingReader{}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
		c.cfg.Members = append(c.cfg.Members, coordinator.Member{Name: fmt.Sprintf("c%d", i+1), Addr: addr})
		c.clocks = append(c.clocks, clock())
	}
	c.nodes = make([]*node, n)
	t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
	return c
}

// newFakeCluster returns replicas with fake clocks. While the test runs, the
// clocks advance by 5 ms about every millisecond, except those that it has frozen.
func newFakeCluster(t *testing.T, n int) *cluster {
	const step = 5 * time.Millisecond
	c := newCluster(t, n, func() clockwork.Clock { return &pausableClock{FakeClock: clockwork.NewFakeClock()} })
	done := make(chan struct{})
	var pump sync.WaitGroup
	pump.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			for _, clock := range c.clocks {
				clock.(*pausableClock).advance(step)
			}
		}
	})
	t.Cleanup(func() {
		close(done)
		pump.Wait()
	})
	return c
}

// pausableClock is a fake clock that can be paused. When it resumes, it jumps
// ahead by the missed time, as a suspended process sees it.
type pausableClock struct {
	*clockwork.FakeClock
	mu     sync.Mutex
	paused bool
	missed time.Duration
}

func (p *pausableClock) advance(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		p.missed += d
		return
	}
	p.Advance(d + p.missed)
	p.missed = 0
}

func (p *pausableClock) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
}

// setFrozen simulates a suspended process: while frozen, the replica's clock
// stands still and its messages are lost.
func (c *cluster) setFrozen(i int, frozen bool) {
	c.clocks[i].(*pausableClock).setPaused(frozen)
	c.network.setCut(c.cfg.Members[i].Addr, frozen)
}

func (c *cluster) startAll() {
	for i := range c.nodes {
		c.start(i, recorder.OSFileSystem{})
	}
}

func (c *cluster) start(i int, fs recorder.FileSystem) {
	machine := &sum{ballast: c.ballast}
	c.run(i, fs, machine, nodeTransport{network: c.network, from: c.cfg.Members[i].Addr}).sum = machine
}

// run starts the replica with the state machine and the transport.
func (c *cluster) run(i int, fs recorder.FileSystem, machine coordinator.StateMachine, transport coordinator.Transport) *node {
	member := c.cfg.Members[i]
	store, err := recorder.Open(fs, recorder.Config{Folder: c.dataFolder(i), Name: member.Name}, c.random)
	require.NoError(c.t, err)
	cfg := c.cfg
	cfg.Name, cfg.Addr = member.Name, member.Addr
	n := &node{member: member, store: store, metrics: metrics.NewSet()}
	cfg.Metrics = n.metrics
	n.Coordinator = coordinator.New(cfg, store, machine, transport, c.clocks[i], asserter.Strict{}, zap.NewNop())
	c.nodes[i] = n
	c.network.mu.Lock()
	c.network.nodes[member.Addr] = n.Coordinator
	c.network.mu.Unlock()
	require.NoError(c.t, n.Start(c.t.Context()))
	return n
}

func (c *cluster) dataFolder(i int) string {
	return filepath.Join(c.folder, c.cfg.Members[i].Name)
}

// stop stops the replica at once, without a transfer of the leadership.
func (c *cluster) stop(i int) {
	n := c.nodes[i]
	if n == nil {
		return
	}
	c.nodes[i] = nil
	c.network.mu.Lock()
	delete(c.network.nodes, n.member.Addr)
	c.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(c.t, n.Stop(ctx))
	_ = n.store.Close()
}

// until waits for the condition. Only the time limit of the test run bounds it.
func (c *cluster) until(condition func() bool) {
	for !condition() {
		require.NoError(c.t, c.t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

// propose proposes the command to the current leader until one has applied it.
// The value may be added more than once, since it also retries after an unknown
// outcome.
func (c *cluster) propose(value uint64) (result any) {
	return c.proposeCommand(value, number(value))
}

// proposeCommand is propose with a command that begins with the value.
func (c *cluster) proposeCommand(value uint64, command []byte) (result any) {
	c.until(func() bool {
		for _, n := range c.nodes {
			if n == nil || !n.IsLeader() {
				continue
			}
			answer, err := n.Propose(c.t.Context(), command)
			if err == nil {
				result = answer
				return true
			}
			var unknown *coordinator.OutcomeUnknownError
			if errors.As(err, &unknown) {
				c.repeated.Add(1)
				c.repeatedSum.Add(value)
			}
		}
		return false
	})
	return result
}

// proposeMany proposes the value 1 n times with 20 concurrent callers.
func (c *cluster) proposeMany(n int) {
	const callers = 20
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range n / callers {
				c.propose(1)
			}
		})
	}
	running.Wait()
}

// leader returns the index of the replica that proves its leadership by a Barrier.
func (c *cluster) leader() (leader int) {
	c.until(func() bool {
		for i, n := range c.nodes {
			if n != nil && n.IsLeader() && n.Barrier(c.t.Context()) == nil {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// agree waits until every running replica has the total that the leader had when
// agree was called.
func (c *cluster) agree() {
	want, _ := c.nodes[c.leader()].sum.value()
	c.until(func() bool {
		for _, n := range c.nodes {
			if n == nil {
				continue
			}
			if total, _ := n.sum.value(); total != want {
				return false
			}
		}
		return true
	})
}

func TestThreeReplicasAgree(t *testing.T) {
	c := newFakeCluster(t, 3)
	c.startAll()
	for i := uint64(1); i <= 20; i++ {
		require.NotNil(t, c.propose(i))
	}
	c.agree()
	// A disk that stalls ends the leadership, and what is proposed again may be added twice.
	total, count := c.nodes[0].sum.value()
	require.GreaterOrEqual(t, total, uint64(210))
	require.LessOrEqual(t, total, 210+c.repeatedSum.Load())
	require.GreaterOrEqual(t, count, uint64(20))
	require.LessOrEqual(t, count, 20+c.repeated.Load())
}

func TestSingleReplicaServes(t *testing.T) {
	c := newFakeCluster(t, 1)
	c.startAll()
	require.Equal(t, uint64(5), c.propose(5))
}

func TestNotLeaderNamesLeader(t *testing.T) {
	c := newFakeCluster(t, 3)
	c.startAll()
	c.propose(1)
	leader := c.leader()
	follower := c.nodes[(leader+1)%3]
	c.until(func() bool { _, known := follower.Leader(); return known })
	_, err := follower.Propose(t.Context(), number(1))
	var notLeader *coordinator.NotLeaderError
	require.ErrorAs(t, err, &notLeader)
	require.Equal(t, c.nodes[leader].member.Addr, notLeader.Leader)
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
}

func TestIsolatedLeaderAcceptsNothing(t *testing.T) {
	c := newFakeCluster(t, 3)
	c.startAll()
	c.propose(1)
	old := c.nodes[c.leader()]
	c.network.setCut(old.member.Addr, true)
	_, err := old.Propose(t.Context(), number(100))
	var unknown *coordinator.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.NotEqual(t, explainer.Unavailable, explainer.KindOf(err))
	require.Error(t, old.Barrier(t.Context()))
	require.Equal(t, uint64(3), c.propose(2))
	c.network.setCut(old.member.Addr, false)
	c.agree()
	total, _ := old.sum.value()
	require.Equal(t, uint64(3), total)
}

// TestFrozenLeader guards against stale reads from a leader whose process was
// suspended for longer than all timeouts, so that another leader was elected. The
// old leader still has its role when it resumes, and must fail a read that begins
// at that moment.
func TestFrozenLeader(t *testing.T) {
	c := newFakeCluster(t, 3)
	c.startAll()
	c.propose(1)
	old := c.leader()
	c.setFrozen(old, true)
	c.until(func() bool { return c.nodes[(old+1)%3].IsLeader() || c.nodes[(old+2)%3].IsLeader() })
	require.True(t, c.nodes[old].IsLeader())
	frozen := c.nodes[old]
	c.nodes[old] = nil
	total := c.propose(2).(uint64)
	require.GreaterOrEqual(t, total, uint64(3))
	require.LessOrEqual(t, total, 3+c.repeatedSum.Load(), "a command was applied twice that was proposed once")
	c.nodes[old] = frozen
	read := make(chan error, 1)
	go func() { read <- frozen.Barrier(t.Context()) }()
	c.setFrozen(old, false)
	require.Error(t, <-read)
	c.agree()
}

// TestRestartAfterManyEntries guards against entries that are lost when the log
// is compacted: a replica that missed more than 500 entries catches up, and then
// all replicas restart.
func TestRestartAfterManyEntries(t *testing.T) {
	const commands = 520
	c := newFakeCluster(t, 3)
	c.cfg.SnapshotEvery = 100
	c.startAll()
	c.propose(0)
	absent := (c.leader() + 1) % 3
	c.stop(absent)
	c.proposeMany(commands)
	c.start(absent, recorder.OSFileSystem{})
	c.agree()
	for i := range c.nodes {
		c.stop(i)
	}
	c.startAll()
	c.propose(0)
	c.agree()
	total, _ := c.nodes[absent].sum.value()
	require.GreaterOrEqual(t, total, uint64(commands))
	require.Positive(t, c.nodes[absent].Status().SnapshotIndex)
}

// TestLostDiskIsReplaced guards against committed entries that are lost when
// replicas lose their disks one after the other: the data folder of a replica is
// removed and its new disk admitted, and then the same is done with another one.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newFakeCluster(t, 3)
	c.startAll()
	c.propose(7)
	first := (c.leader() + 1) % 3
	for _, i := range []int{first, (first + 1) % 3} {
		c.stop(i)
		require.NoError(t, os.RemoveAll(c.dataFolder(i)))
		c.start(i, recorder.OSFileSystem{})
		c.until(func() bool { return len(c.nodes[c.leader()].Status().Joiners) == 1 })
		c.until(func() bool { return c.nodes[c.leader()].AdmitMember(t.Context(), c.cfg.Members[i].Name) == nil })
		c.propose(1)
	}
	c.agree()
	total, _ := c.nodes[first].sum.value()
	require.GreaterOrEqual(t, total, uint64(9))
}

// failingDisk fails every sync that starts after failing was set. A failing sync
// blocks until release is closed.
type failingDisk struct {
	recorder.OSFileSystem
	failing *atomic.Bool
	release chan struct{}
}

type failingFile struct {
	recorder.File
	disk failingDisk
}

func (d failingDisk) Create(path string) (recorder.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return failingFile{File: f, disk: d}, err
}

func (f failingFile) Sync() error {
	if f.disk.failing.Load() {
		<-f.disk.release
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// startWithFailingDisks starts every replica on a disk that can fail, proposes 1
// and returns the leader and the disks.
func (c *cluster) startWithFailingDisks() (leader int, disks []failingDisk) {
	for i := range c.nodes {
		disk := failingDisk{failing: &atomic.Bool{}, release: make(chan struct{})}
		disks = append(disks, disk)
		c.start(i, disk)
	}
	c.propose(1)
	return c.leader(), disks
}

// valueDuringFailure is proposed while the leader's disk fails. A proposal whose
// outcome is unknown may be added more than once. Each proposed number uses other
// decimal digits of the total, so that the total shows how often each was added.
const valueDuringFailure = 100

// requireStopped checks that the replica with the failed disk acknowledges
// nothing more, and that the others continue. The number of times that the others
// have added valueDuringFailure must be one of want.
func (c *cluster) requireStopped(failed int, want ...uint64) {
	const after = 100 * valueDuringFailure
	c.until(func() bool { return c.nodes[failed].Status().Failure != nil })
	_, err := c.nodes[failed].Propose(c.t.Context(), number(after))
	require.Equal(c.t, explainer.Unavailable, explainer.KindOf(err))
	require.False(c.t, c.nodes[failed].IsLeader())
	broken := c.nodes[failed]
	c.nodes[failed] = nil
	total := c.propose(after).(uint64)
	require.Contains(c.t, want, total%after/valueDuringFailure)
	c.nodes[failed] = broken
}

// TestFailedSyncStopsReplica guards against an acknowledgement without a synced
// entry: the leader's disk fails while it is cut off from the other replicas. It
// must not acknowledge the proposal, and the others continue without it.
func TestFailedSyncStopsReplica(t *testing.T) {
	c := newFakeCluster(t, 3)
	failed, disks := c.startWithFailingDisks()
	c.network.setCut(c.nodes[failed].member.Addr, true)
	disks[failed].failing.Store(true)
	close(disks[failed].release)
	_, err := c.nodes[failed].Propose(t.Context(), number(valueDuringFailure))
	require.Error(t, err)
	c.requireStopped(failed, 0)
}

// TestFailedSyncRacesOthers guards against the loss of an acknowledged entry: the
// leader's disk fails while the other replicas write the same entry. The leader
// may acknowledge the entry only if the others keep it.
func TestFailedSyncRacesOthers(t *testing.T) {
	c := newFakeCluster(t, 3)
	failed, disks := c.startWithFailingDisks()
	disks[failed].failing.Store(true)
	close(disks[failed].release)
	_, err := c.nodes[failed].Propose(t.Context(), number(valueDuringFailure))
	if err != nil {
		c.requireStopped(failed, 0, 1)
		return
	}
	c.requireStopped(failed, 1)
}

// TestFailedSyncAfterOthersWrote guards against the loss of an entry that both
// other replicas have synced before the leader's own write fails. The entry is
// acknowledged, and the others keep it.
func TestFailedSyncAfterOthersWrote(t *testing.T) {
	c := newFakeCluster(t, 3)
	failed, disks := c.startWithFailingDisks()
	disks[failed].failing.Store(true)
	_, err := c.nodes[failed].Propose(t.Context(), number(valueDuringFailure))
	require.NoError(t, err)
	close(disks[failed].release)
	c.requireStopped(failed, 1)
}

func TestTransferLeadership(t *testing.T) {
	c := newFakeCluster(t, 3)
	c.startAll()
	c.propose(1)
	old := c.leader()
	c.until(func() bool { return c.nodes[old].TransferLeadership(t.Context()) == nil })
	require.False(t, c.nodes[old].IsLeader())
	require.NotEqual(t, old, c.leader())
	require.NoError(t, c.nodes[old].Stop(t.Context()))
	_, err := c.nodes[old].Propose(t.Context(), number(1))
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
}
