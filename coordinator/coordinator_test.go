package coordinator_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/coordinator"
	"celeryvalve/encoder"
	"celeryvalve/recorder"
)

// sum is a state machine that adds numbers up.
type sum struct {
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
	return binary.BigEndian.AppendUint64(data, s.count), nil
}

func (s *sum) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(data) != 16 {
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

// network delivers messages, encoded and decoded like on the wire, unless cut.
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

type port struct {
	network *network
	from    netip.AddrPort
}

func (p port) Send(to netip.AddrPort, msg any) {
	n := p.network
	n.mu.Lock()
	node := n.nodes[to]
	cut := n.cut[p.from] || n.cut[to]
	n.mu.Unlock()
	if node == nil || cut {
		return
	}
	frame, err := n.codec.Encode(0, msg)
	if err != nil {
		panic(err)
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

// counter gives every disk its own identity.
type counter struct{ n uint64 }

func (c *counter) Read(p []byte) (int, error) {
	c.n++
	binary.BigEndian.PutUint64(p, c.n)
	return len(p), nil
}

// node is one replica with its disk.
type node struct {
	*coordinator.Coordinator
	member coordinator.Member
	store  *recorder.Recorder
	sum    *sum
}

// cluster is some replicas on one network.
type cluster struct {
	t       testing.TB
	folder  string
	network *network
	clock   clockwork.Clock
	random  io.Reader
	cfg     coordinator.Config
	nodes   []*node
}

func newCluster(t testing.TB, n int, clock clockwork.Clock) *cluster {
	c := &cluster{
		t:       t,
		folder:  t.TempDir(),
		network: newNetwork(t),
		clock:   clock,
		random:  &counter{},
		cfg:     coordinator.Config{HeartbeatInterval: 20 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond},
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
		c.cfg.Members = append(c.cfg.Members, coordinator.Member{Name: fmt.Sprintf("c%d", i+1), Addr: addr})
	}
	c.nodes = make([]*node, n)
	return c
}

func (c *cluster) startAll() {
	for i := range c.nodes {
		c.start(i, recorder.Disk{})
	}
	c.t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
}

func (c *cluster) start(i int, fs recorder.FileSystem) {
	member := c.cfg.Members[i]
	store, err := recorder.Open(fs, recorder.Config{Folder: filepath.Join(c.folder, member.Name), Name: member.Name}, c.random)
	require.NoError(c.t, err)
	cfg := c.cfg
	cfg.Name, cfg.Addr = member.Name, member.Addr
	n := &node{member: member, store: store, sum: &sum{}}
	n.Coordinator = coordinator.New(cfg, store, n.sum, port{network: c.network, from: member.Addr}, c.clock, asserter.Strict{}, zap.NewNop())
	c.nodes[i] = n
	c.network.mu.Lock()
	c.network.nodes[member.Addr] = n.Coordinator
	c.network.mu.Unlock()
	require.NoError(c.t, n.Start(c.t.Context()))
}

// stop ends the replica at once, without a transfer of the leadership.
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

// propose asks replicas until one has applied the command. Numbers may be added
// twice where an outcome is not known.
func (c *cluster) propose(value uint64) any {
	for {
		for _, n := range c.nodes {
			if n == nil || !n.IsLeader() {
				continue
			}
			ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
			result, err := n.Propose(ctx, number(value))
			cancel()
			if err == nil {
				return result
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *cluster) leader() int {
	for {
		for i, n := range c.nodes {
			if n != nil && n.IsLeader() && n.Barrier(c.t.Context()) == nil {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func TestThreeReplicasAgree(t *testing.T) {
	c := newCluster(t, 3, clockwork.NewRealClock())
	c.startAll()
	for i := uint64(1); i <= 20; i++ {
		require.NotNil(t, c.propose(i))
	}
	leader := c.nodes[c.leader()]
	require.NoError(t, leader.Barrier(t.Context()))
	total, _ := leader.sum.value()
	require.Equal(t, uint64(210), total)
}

func TestSingleReplicaServes(t *testing.T) {
	c := newCluster(t, 1, clockwork.NewRealClock())
	c.startAll()
	require.Equal(t, uint64(5), c.propose(5))
}

func TestNotLeaderNamesLeader(t *testing.T) {
	c := newCluster(t, 3, clockwork.NewRealClock())
	c.startAll()
	c.propose(1)
	leader := c.leader()
	follower := c.nodes[(leader+1)%3]
	_, err := follower.Propose(t.Context(), number(1))
	var notLeader *coordinator.NotLeaderError
	require.ErrorAs(t, err, &notLeader)
}

func TestIsolatedLeaderAcceptsNothing(t *testing.T) {
	c := newCluster(t, 3, clockwork.NewRealClock())
	c.startAll()
	c.propose(1)
	old := c.nodes[c.leader()]
	c.network.setCut(old.member.Addr, true)
	_, err := old.Propose(t.Context(), number(100))
	var unknown *coordinator.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Error(t, old.Barrier(t.Context()))
	require.Equal(t, uint64(3), c.propose(2))
	c.network.setCut(old.member.Addr, false)
	require.Eventually(t, func() bool {
		total, _ := old.sum.value()
		return total == 3
	}, 10*time.Second, time.Millisecond)
}
