package transferrer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/imitator"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

// fakeStream is an in-memory stream that holds one answer at a time.
type fakeStream struct {
	answer chan any
	ctx    context.Context
	cancel context.CancelFunc
	alter  func(any) any
}

func (s *fakeStream) Send(msg any) error {
	select {
	case s.answer <- s.alter(msg):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// clientStream and serverStream are the two ends of a fakeStream.
type clientStream struct{ *fakeStream }

func (s clientStream) Receive(ctx context.Context) (any, error) {
	select {
	case msg := <-s.answer:
		return msg, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}
func (s clientStream) Cancel() { s.cancel() }

type serverStream struct{ *fakeStream }

func (s serverStream) Receive(ctx context.Context) (any, error) {
	select {
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return nil, io.EOF
}
func (s serverStream) Cancel() { s.cancel() }

// testCluster connects agents in memory and leases each chunk of the origin to one
// agent.
type testCluster struct {
	t               *testing.T
	clock           clockwork.Clock
	source          string
	pinned          identifier.Digest
	sw              *imitator.Switch
	origin          *imitator.Origin
	corrupt, silent identifier.Upstream
	// progressDeadline is how long a peer may send nothing by the system clock.
	progressDeadline time.Duration

	mu           sync.Mutex
	agents       map[netip.AddrPort]*agent
	leaseHolders map[verifier.ChunkIndex]identifier.Upstream
}

type agent struct {
	*transferrer.Transferrer
	cluster   *testCluster
	peer      fetcher.Peer
	completed chan verifier.Weights
	failed    chan fetcher.Failed
	stop      func()
}

func newTestCluster(t *testing.T, cfg imitator.OriginConfig) *testCluster {
	c := &testCluster{
		t: t, clock: clockwork.NewRealClock(), sw: imitator.NewSwitch(imitator.Misbehaviour{}),
		agents: make(map[netip.AddrPort]*agent), leaseHolders: make(map[verifier.ChunkIndex]identifier.Upstream),
		progressDeadline: time.Second,
	}
	cfg.Folder = t.TempDir()
	var err error
	c.pinned, err = imitator.WriteWeights(imitator.WeightsConfig{
		Folder: cfg.Folder, Model: "m", Version: "1", ChunkSize: 1 << 10, Size: 100 << 10, Files: 3,
	})
	require.NoError(t, err)
	c.origin, err = imitator.NewOrigin(cfg, c.clock, c.sw)
	require.NoError(t, err)
	srv := httptest.NewServer(c.origin.Handler())
	t.Cleanup(srv.Close)
	c.source = srv.URL + "/m/1"
	return c
}

// Open opens an in-memory stream to the agent at addr.
func (a *agent) Open(_ context.Context, addr netip.AddrPort, first any) (transferrer.Stream, error) {
	a.cluster.mu.Lock()
	to := a.cluster.agents[addr]
	a.cluster.mu.Unlock()
	if to == nil {
		return nil, errors.New("no such peer")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStream{answer: make(chan any, 1), ctx: ctx, cancel: cancel, alter: func(msg any) any { return msg }}
	if to.peer.Upstream == a.cluster.silent {
		return clientStream{s}, nil
	}
	if to.peer.Upstream == a.cluster.corrupt {
		s.alter = func(msg any) any {
			answer := *msg.(*fetcher.ChunkAnswer)
			answer.Data = make([]byte, len(answer.Data))
			return &answer
		}
	}
	go to.Serve(ctx, serverStream{s}, first)
	return clientStream{s}, nil
}

// Lease grants each chunk to the first agent that requests it. Another agent gets it
// only if its request sets Again.
func (a *agent) Lease(_ context.Context, request fetcher.RequestOriginLease) (fetcher.OriginLeaseAnswered, error) {
	a.cluster.mu.Lock()
	defer a.cluster.mu.Unlock()
	answer := fetcher.OriginLeaseAnswered{Manifest: request.Manifest, Chunks: request.Chunks, Copy: request.Copy}
	for i := range request.Chunks.Count {
		holder := a.cluster.leaseHolders[request.Chunks.First+verifier.ChunkIndex(i)]
		if holder != "" && holder != a.peer.Upstream && !request.Regrant {
			answer.Held, answer.Holder = true, holder
			return answer, nil
		}
	}
	for i := range request.Chunks.Count {
		a.cluster.leaseHolders[request.Chunks.First+verifier.ChunkIndex(i)] = a.peer.Upstream
	}
	answer.Granted, answer.Expires = true, a.cluster.clock.Now().Add(time.Hour)
	return answer, nil
}

// start runs agent i with a store in folder, or in memory if folder is empty.
func (c *testCluster) start(i int, folder string) *agent {
	a := &agent{
		cluster: c,
		peer: fetcher.Peer{
			Upstream: identifier.Upstream(fmt.Sprintf("u%d", i)),
			Region:   identifier.Region(fmt.Sprintf("r%d", i%2)),
			Address:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		},
		completed: make(chan verifier.Weights, 4),
		failed:    make(chan fetcher.Failed, 4),
	}
	store, err := transferrer.NewStore(transferrer.StoreConfig{Folder: folder, Limit: 1 << 20})
	require.NoError(c.t, err)
	cfg := fetcher.DefaultConfig()
	cfg.Self = a.peer
	cfg.ProgressDeadline = c.progressDeadline
	a.Transferrer = transferrer.New(transferrer.Config{Fetcher: cfg, OriginStallTimeout: time.Minute, LeaseTimeout: time.Minute},
		c.clock, store, a, a, metrics.NewSet(), zap.NewNop(), asserter.Strict{})
	a.OnEffect = func(e fetcher.Effect) {
		switch e := e.(type) {
		case fetcher.Completed:
			a.completed <- e.Weights
		case fetcher.Failed:
			a.failed <- e
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	var once sync.Once
	a.stop = func() {
		once.Do(func() {
			cancel()
			require.NoError(c.t, <-done)
		})
	}
	c.t.Cleanup(a.stop)
	c.mu.Lock()
	c.agents[a.peer.Address] = a
	c.mu.Unlock()
	return a
}

// complete waits until the weights are complete, or fails the test with the cause if the
// transfer can't continue.
func (a *agent) complete() verifier.Weights {
	select {
	case weights := <-a.completed:
		return weights
	case failed := <-a.failed:
		require.FailNow(a.cluster.t, "the transfer has failed", "%s: %s (%s)", a.peer.Upstream, failed.Problem, failed.Remedy)
		panic("unreachable")
	}
}

// startTransfers makes the agents fetch the weights from each other.
func (c *testCluster) startTransfers(agents ...*agent) {
	var peers []fetcher.Peer
	for _, a := range agents {
		peers = append(peers, a.peer)
	}
	for _, a := range agents {
		a.Send(c.t.Context(), fetcher.Wanted{Manifest: c.pinned, Name: fetcher.Name{Model: "m"}, Source: c.source})
		a.Send(c.t.Context(), fetcher.PeersChanged{Manifest: c.pinned, Peers: peers})
	}
}

func (c *testCluster) startAll(n int) []*agent {
	var agents []*agent
	for i := range n {
		agents = append(agents, c.start(i, ""))
	}
	return agents
}

func TestAgentsShareOneCopyOfTheOrigin(t *testing.T) {
	c := newTestCluster(t, imitator.OriginConfig{})
	c.progressDeadline = time.Hour // no peer is given up, however slow the machine is
	agents := c.startAll(6)
	c.startTransfers(agents...)
	for _, a := range agents {
		require.Equal(t, c.pinned, a.complete().Manifest().Digest())
	}
	read := identifier.ByteCount(0)
	for name, n := range c.origin.Counters().Files {
		if filepath.Base(name) != verifier.ManifestPath {
			read += n
		}
	}
	require.EqualValues(t, 100<<10, read)
}

func TestCorruptAndSilentPeersAreGoneAround(t *testing.T) {
	c := newTestCluster(t, imitator.OriginConfig{})
	c.corrupt, c.silent = "u1", "u2"
	agents := c.startAll(6)
	c.startTransfers(agents...)
	for _, a := range agents {
		a.complete()
	}
}

func TestRateLimitOfTheStoreIsObeyed(t *testing.T) {
	c := newTestCluster(t, imitator.OriginConfig{StoreRate: 200 << 10, StoreBurst: 16 << 10})
	a := c.start(0, "")
	c.startTransfers(a)
	a.complete()
	require.Positive(t, c.origin.Counters().Refused)
}

func TestChangedContentOfTheOriginIsReported(t *testing.T) {
	c := newTestCluster(t, imitator.OriginConfig{})
	c.pinned[0]++
	a := c.start(0, "")
	c.startTransfers(a)
	require.Contains(t, (<-a.failed).Problem, "pinned digest")
}

func TestRestartedAgentResumesFromItsFolder(t *testing.T) {
	c := newTestCluster(t, imitator.OriginConfig{})
	folder := t.TempDir()
	a := c.start(0, folder)
	c.startTransfers(a)
	a.complete()
	a.stop()
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	damaged := filepath.Join(folder, entries[0].Name())
	require.NoError(t, os.WriteFile(damaged, []byte("damaged"), 0o600))
	bytesBefore := c.origin.Counters().Bytes
	restarted := c.start(0, folder)
	c.startTransfers(restarted)
	restarted.complete()
	manifest := c.origin.Counters().Files["m/1/"+verifier.ManifestPath] / 2
	require.LessOrEqual(t, c.origin.Counters().Bytes-bytesBefore-manifest, identifier.ByteCount(1<<10))
	require.EqualValues(t, 99<<10, restarted.Snapshot()[0].Reused)
}

func TestStoreKeepsToItsLimit(t *testing.T) {
	for _, folder := range []string{"", t.TempDir()} {
		s, err := transferrer.NewStore(transferrer.StoreConfig{Folder: folder, Limit: 10})
		require.NoError(t, err)
		put := func(data string) error {
			chunk, err := verifier.VerifyBytes(identifier.DigestOf([]byte(data)), []byte(data))
			require.NoError(t, err)
			return s.Put(chunk, []byte(data))
		}
		require.NoError(t, put("123456"))
		require.NoError(t, put("123456"))
		require.Error(t, put("78901"))
		s.Drop([]identifier.Digest{identifier.DigestOf([]byte("123456"))})
		require.NoError(t, put("78901"))
		require.EqualValues(t, 5, s.Used())
	}
}
