package spreader

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/registrar"
)

// fetchEndpoint answers each fetch with the next revision, after running during.
type fetchEndpoint struct {
	t        *testing.T
	during   func()
	mu       sync.Mutex
	revision declarer.Revision
}

func (*fetchEndpoint) Open(context.Context, netip.AddrPort, any) (*connector.Stream, error) {
	return nil, context.Canceled
}

func (*fetchEndpoint) Replace(netip.AddrPort) {}

func (e *fetchEndpoint) Call(context.Context, netip.AddrPort, any) (any, error) {
	e.during()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	delta, err := declarer.Declaration{}.DeltaFrom(declarer.Declaration{}).Encode()
	require.NoError(e.t, err)
	return &FetchDeclarationResponse{Revision: e.revision, Delta: delta}, nil
}

// Guards against a release that half of the processes learn of 0.2 to 0.5 s late: the
// digests were pinned while they fetched the revision that named it, and the announcement
// of the second revision was dropped.
func TestRevisionAnnouncedDuringAFetchIsFetchedNext(t *testing.T) {
	from, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	e := &fetchEndpoint{t: t}
	view := declarer.NewView(asserter.Strict{})
	s := New(Config{Process: "p"}, nil, registrar.New(registrar.Config{}), view, e, clockwork.NewFakeClock(), zap.NewNop())
	e.during = func() { s.applyUpdate(&Update{Revision: 2}, other, &sentState{}) }
	s.applyUpdate(&Update{Revision: 1}, from, &sentState{})
	s.done.Wait()
	require.EqualValues(t, 2, view.Declared().Revision)
}

// Guards against a replica that ends when it is asked for the declared state before it has
// any, as after a restart of all replicas. (Found by a hunt on sahkar-git: scale-1 with the
// seed 19980063818.)
func TestReplicaWithoutADeclarationAnswersAFetch(t *testing.T) {
	view := declarer.NewView(asserter.Strict{})
	s := New(Config{Process: "p"}, nil, registrar.New(registrar.Config{}), view, &fetchEndpoint{t: t}, clockwork.NewFakeClock(), zap.NewNop())
	answer, err := s.fetchAnswer(&FetchDeclarationRequest{Have: 7})
	require.NoError(t, err)
	require.Zero(t, answer.Revision)
}

// peersEndpoint answers fetches as the peers would, and counts them. A peer without an answer
// doesn't respond.
type peersEndpoint struct {
	t       *testing.T
	during  func(addr netip.AddrPort)
	holds   map[netip.AddrPort]declarer.Revision
	mu      sync.Mutex
	fetches map[netip.AddrPort]int
}

func (*peersEndpoint) Open(context.Context, netip.AddrPort, any) (*connector.Stream, error) {
	return nil, context.Canceled
}

func (*peersEndpoint) Replace(netip.AddrPort) {}

// fetchLimit ends a loop of fetches in which nothing changes.
const fetchLimit = 50

func (e *peersEndpoint) Call(_ context.Context, addr netip.AddrPort, _ any) (any, error) {
	e.mu.Lock()
	e.fetches[addr]++
	n := e.fetches[addr]
	revision, ok := e.holds[addr]
	e.mu.Unlock()
	if e.during != nil {
		e.during(addr)
	}
	if !ok || n > fetchLimit {
		return nil, context.DeadlineExceeded
	}
	delta, err := declarer.Declaration{}.DeltaFrom(declarer.Declaration{}).Encode()
	require.NoError(e.t, err)
	return &FetchDeclarationResponse{Revision: revision, Delta: delta}, nil
}

// Guards against entries that handled requests by an old configuration to the end of the day,
// after the replica that had told them of the new one lost power: each fetched the old state
// from another entry without end, and turned away the replica that came back with the new one.
func TestStalePeerKeepsNobodyFromTheNewestState(t *testing.T) {
	lost, stale, back := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	for name, held := range map[string]declarer.Revision{"holds an older state": 3, "holds nothing": 0} {
		t.Run(name, func(t *testing.T) {
			e := &peersEndpoint{t: t, holds: map[netip.AddrPort]declarer.Revision{stale: held, back: 7}, fetches: make(map[netip.AddrPort]int)}
			view := declarer.NewView(asserter.Strict{})
			view.Set(declarer.Declared{Revision: held})
			s := New(Config{Process: "p"}, nil, registrar.New(registrar.Config{}), view, e, clockwork.NewFakeClock(), zap.NewNop())
			s.applyUpdate(&Update{Revision: 7}, lost, &sentState{})
			s.done.Wait()
			var once sync.Once
			e.during = func(addr netip.AddrPort) {
				if addr == stale {
					once.Do(func() { s.applyUpdate(&Update{Revision: 7}, back, &sentState{}) })
				}
			}
			s.applyUpdate(&Update{Revision: held}, stale, &sentState{})
			s.done.Wait()
			e.during = nil
			s.applyUpdate(&Update{Revision: 7}, back, &sentState{})
			s.done.Wait()
			require.EqualValues(t, 7, view.Declared().Revision)
			require.LessOrEqual(t, e.fetches[stale], 1, "fetches from a peer without news")
		})
	}
}
