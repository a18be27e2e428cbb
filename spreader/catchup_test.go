package spreader

import (
	"context"
	"net/netip"
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
	revision declarer.Revision
}

func (*fetchEndpoint) Open(context.Context, netip.AddrPort, any) (*connector.Stream, error) {
	return nil, context.Canceled
}

func (*fetchEndpoint) Replace(netip.AddrPort) {}

func (e *fetchEndpoint) Call(context.Context, netip.AddrPort, any) (any, error) {
	e.during()
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
