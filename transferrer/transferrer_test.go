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

// exchange is an in-memory stream that brings one answer.
type exchange struct {
	answer chan any
	ctx    context.Context
	cancel context.CancelFunc
	alter  func(any) any
}

func (s *exchange) Send(msg any) error {
	select {
	case s.answer <- s.alter(msg):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// client and server are the two ends.
type client struct{ *exchange }

func (s client) Receive(ctx context.Context) (any, error) {
	select {
	case msg := <-s.answer:
		return msg, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}
func (s client) Cancel() { s.cancel() }

type server struct{ *exchange }

func (s server) Receive(ctx context.Context) (any, error) {
	select {
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return nil, io.EOF
}
func (s server) Cancel() { s.cancel() }

// bench connects agents in memory and grants every chunk of the origin once.
type bench struct {
	t               *testing.T
	clock           clockwork.Clock
	source          string
	pinned          identifier.Digest
	sw              *imitator.Switch
	origin          *imitator.Origin
	corrupt, silent identifier.Upstream

	mu      sync.Mutex
	agents  map[netip.AddrPort]*agent
	granted map[verifier.ChunkIndex]identifier.Upstream
}

type agent struct {
	*transferrer.Transferrer
	b         *bench
	peer      fetcher.Peer
	completed chan verifier.Weights
	failed    chan fetcher.Failed
	stop      func()
}

func newBench(t *testing.T, cfg imitator.OriginConfig) *bench {
	b := &bench{
		t: t, clock: clockwork.NewRealClock(), sw: imitator.NewSwitch(imitator.Misbehaviour{}),
		agents: make(map[netip.AddrPort]*agent), granted: make(map[verifier.ChunkIndex]identifier.Upstream),
	}
	cfg.Folder = t.TempDir()
	var err error
	b.pinned, err = imitator.WriteWeights(imitator.WeightsConfig{
		Folder: cfg.Folder, Model: "m", Version: "1", ChunkSize: 1 << 10, Size: 100 << 10, Files: 3,
	})
	require.NoError(t, err)
	b.origin, err = imitator.NewOrigin(cfg, b.clock, b.sw)
	require.NoError(t, err)
	srv := httptest.NewServer(b.origin.Handler())
	t.Cleanup(srv.Close)
	b.source = srv.URL + "/m/1"
	return b
}

// Open connects to an agent, as the connector would.
func (a *agent) Open(_ context.Context, addr netip.AddrPort, first any) (transferrer.Stream, error) {
	a.b.mu.Lock()
	to := a.b.agents[addr]
	a.b.mu.Unlock()
	if to == nil {
		return nil, errors.New("no such peer")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &exchange{answer: make(chan any, 1), ctx: ctx, cancel: cancel, alter: func(msg any) any { return msg }}
	if to.peer.Upstream == a.b.silent {
		return client{s}, nil
	}
	if to.peer.Upstream == a.b.corrupt {
		s.alter = func(msg any) any {
			answer := *msg.(*fetcher.ChunkAnswer)
			answer.Data = make([]byte, len(answer.Data))
			return &answer
		}
	}
	go to.Serve(ctx, server{s}, first)
	return client{s}, nil
}

// Lease grants each chunk to its first asker, and again only to one who says so.
func (a *agent) Lease(_ context.Context, ask fetcher.AskOriginLease) (fetcher.OriginLeaseAnswered, error) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	answer := fetcher.OriginLeaseAnswered{Manifest: ask.Manifest, Chunks: ask.Chunks, Copy: ask.Copy}
	for i := range ask.Chunks.Count {
		holder := a.b.granted[ask.Chunks.First+verifier.ChunkIndex(i)]
		if holder != "" && holder != a.peer.Upstream && !ask.Again {
			answer.Held, answer.Holder = true, holder
			return answer, nil
		}
	}
	for i := range ask.Chunks.Count {
		a.b.granted[ask.Chunks.First+verifier.ChunkIndex(i)] = a.peer.Upstream
	}
	answer.Granted, answer.Expires = true, a.b.clock.Now().Add(time.Hour)
	return answer, nil
}

// start runs agent i with a store in folder, or in memory.
func (b *bench) start(i int, folder string) *agent {
	a := &agent{
		b: b,
		peer: fetcher.Peer{
			Upstream: identifier.Upstream(fmt.Sprintf("u%d", i)),
			Region:   identifier.Region(fmt.Sprintf("r%d", i%2)),
			Address:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		},
		completed: make(chan verifier.Weights, 4),
		failed:    make(chan fetcher.Failed, 4),
	}
	store, err := transferrer.NewStore(transferrer.StoreConfig{Folder: folder, Limit: 1 << 20})
	require.NoError(b.t, err)
	cfg := fetcher.DefaultConfig()
	cfg.Self = a.peer
	cfg.ProgressDeadline = time.Second
	a.Transferrer = transferrer.New(transferrer.Config{Fetcher: cfg, OriginStall: time.Minute, LeaseTimeout: time.Minute},
		b.clock, store, a, a, metrics.NewSet(), zap.NewNop(), asserter.Strict{})
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
			require.NoError(b.t, <-done)
		})
	}
	b.t.Cleanup(a.stop)
	b.mu.Lock()
	b.agents[a.peer.Address] = a
	b.mu.Unlock()
	return a
}

// want has the agents fetch the weights from each other.
func (b *bench) want(agents ...*agent) {
	var peers []fetcher.Peer
	for _, a := range agents {
		peers = append(peers, a.peer)
	}
	for _, a := range agents {
		a.Send(b.t.Context(), fetcher.Wanted{Manifest: b.pinned, Name: fetcher.Name{Model: "m"}, Source: b.source})
		a.Send(b.t.Context(), fetcher.PeersChanged{Manifest: b.pinned, Peers: peers})
	}
}

func (b *bench) startAll(n int) []*agent {
	var agents []*agent
	for i := range n {
		agents = append(agents, b.start(i, ""))
	}
	return agents
}

func TestAgentsShareOneCopyOfTheOrigin(t *testing.T) {
	b := newBench(t, imitator.OriginConfig{})
	agents := b.startAll(6)
	b.want(agents...)
	for _, a := range agents {
		require.Equal(t, b.pinned, (<-a.completed).Manifest().Digest())
	}
	read := identifier.ByteCount(0)
	for name, n := range b.origin.Counters().Files {
		if filepath.Base(name) != verifier.ManifestPath {
			read += n
		}
	}
	require.EqualValues(t, 100<<10, read)
}

func TestCorruptAndSilentPeersAreGoneAround(t *testing.T) {
	b := newBench(t, imitator.OriginConfig{})
	b.corrupt, b.silent = "u1", "u2"
	agents := b.startAll(6)
	b.want(agents...)
	for _, a := range agents {
		<-a.completed
	}
}

func TestRateLimitOfTheStoreIsObeyed(t *testing.T) {
	b := newBench(t, imitator.OriginConfig{StoreRate: 200 << 10, StoreBurst: 16 << 10})
	a := b.start(0, "")
	b.want(a)
	<-a.completed
	require.Positive(t, b.origin.Counters().Refused)
}

func TestChangedContentOfTheOriginIsReported(t *testing.T) {
	b := newBench(t, imitator.OriginConfig{})
	b.pinned[0]++
	a := b.start(0, "")
	b.want(a)
	require.Contains(t, (<-a.failed).Problem, "pinned digest")
}

func TestRestartedAgentResumesFromItsFolder(t *testing.T) {
	b := newBench(t, imitator.OriginConfig{})
	folder := t.TempDir()
	a := b.start(0, folder)
	b.want(a)
	<-a.completed
	a.stop()
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	damaged := filepath.Join(folder, entries[0].Name())
	require.NoError(t, os.WriteFile(damaged, []byte("damaged"), 0o600))
	before := b.origin.Counters().Bytes
	again := b.start(0, folder)
	b.want(again)
	<-again.completed
	manifest := b.origin.Counters().Files["m/1/"+verifier.ManifestPath] / 2
	require.LessOrEqual(t, b.origin.Counters().Bytes-before-manifest, identifier.ByteCount(1<<10))
	require.EqualValues(t, 99<<10, again.Snapshot()[0].Reused)
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
