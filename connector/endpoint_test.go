package connector_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

type ping struct {
	N       int
	Padding []byte `cbor:",omitempty"`
}

type pong struct{ N int }

type versions struct {
	current  identifier.ConfigurationVersion
	observed chan identifier.ConfigurationVersion
}

func (v *versions) Current() identifier.ConfigurationVersion { return v.current }

func (v *versions) Observe(_ netip.AddrPort, version identifier.ConfigurationVersion) {
	select {
	case v.observed <- version:
	default:
	}
}

func (v *versions) Await(context.Context, identifier.ConfigurationVersion) {}

func newFolder(t *testing.T, names ...string) string {
	folder := t.TempDir()
	authority, err := certifier.CreateAuthority(folder, time.Now())
	require.NoError(t, err)
	for _, name := range names {
		require.NoError(t, authority.Issue(name, []certifier.Role{certifier.Agent}, time.Now()))
	}
	return folder
}

func newEndpoint(t *testing.T, folder, name string, v *versions) *connector.Endpoint {
	e := newEndpointAt(t, "127.0.0.1:0", folder, name, v)
	t.Cleanup(func() { require.NoError(t, e.Stop()) })
	return e
}

func newEndpointAt(t *testing.T, address, folder, name string, v *versions) *connector.Endpoint {
	codec, err := encoder.New(encoder.Message[ping]("Ping"), encoder.Message[pong]("Pong"))
	require.NoError(t, err)
	source := certifier.NewSource(certifier.PathsIn(folder, name))
	cfg := connector.Config{Listen: netip.MustParseAddrPort(address)}
	e := connector.New(cfg, codec, source, v, zap.NewNop())
	e.Handle("Ping", func(ctx context.Context, s *connector.Stream, first any) {
		for msg, err := first, error(nil); err == nil; msg, err = s.Receive(ctx) {
			if s.Send(&pong{N: msg.(*ping).N + 1}) != nil {
				return
			}
		}
	})
	require.NoError(t, e.Start())
	return e
}

func TestCallCarriesIdentityAndVersion(t *testing.T) {
	folder := newFolder(t, "a", "b")
	observed := &versions{current: 1, observed: make(chan identifier.ConfigurationVersion, 1)}
	a := newEndpoint(t, folder, "a", &versions{current: 7})
	b := newEndpoint(t, folder, "b", observed)

	answer, err := a.Call(t.Context(), b.Address(), &ping{N: 4})
	require.NoError(t, err)
	require.Equal(t, &pong{N: 5}, answer)
	require.Equal(t, identifier.ConfigurationVersion(7), <-observed.observed)

	s, err := a.Open(t.Context(), b.Address(), &ping{N: 1})
	require.NoError(t, err)
	require.Equal(t, "b", s.Peer().Name)
	require.True(t, s.Peer().Has(certifier.Agent))
	require.False(t, s.Peer().Has(certifier.Control))
	_, err = s.Receive(t.Context())
	require.NoError(t, err)
	require.NoError(t, s.CloseSend())
	_, err = s.Receive(t.Context())
	require.Equal(t, io.EOF, err)
}

func TestCallToItself(t *testing.T) {
	a := newEndpoint(t, newFolder(t, "a"), "a", &versions{})
	answer, err := a.Call(t.Context(), a.Address(), &ping{N: 4})
	require.NoError(t, err)
	require.Equal(t, &pong{N: 5}, answer)
}

// Guards against a release that takes a peer of the one before, which does not know a message, for one that is away.
func TestMessageThatThePeerDoesNotKnowIsRefused(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpoint(t, folder, "b", &versions{})
	_, err := a.Call(t.Context(), b.Address(), &pong{}) // b has no handler for it
	require.True(t, connector.IsRefused(err))
	a.Replace(b.Address())
	s, err := a.Open(t.Context(), b.Address(), &ping{})
	require.NoError(t, err)
	a.Replace(b.Address())
	_, err = s.Receive(t.Context())
	require.Error(t, err)
	require.False(t, connector.IsRefused(err), "the connection was lost")
}

func TestReplacedConnectionDialsAgain(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpoint(t, folder, "b", &versions{})
	_, err := a.Call(t.Context(), b.Address(), &ping{})
	require.NoError(t, err)
	a.Replace(b.Address())
	_, err = a.Call(t.Context(), b.Address(), &ping{})
	require.NoError(t, err)
}

func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	a := newEndpoint(t, newFolder(t, "a"), "a", &versions{})
	b := newEndpoint(t, newFolder(t, "b"), "b", &versions{})
	_, err := a.Call(t.Context(), b.Address(), &ping{})
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
}

func TestRenewedKeyIsTakenUpWithoutRestart(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpoint(t, folder, "b", &versions{})
	_, err := a.Call(t.Context(), b.Address(), &ping{})
	require.NoError(t, err)

	rotated, err := certifier.RotateAuthority(folder, time.Now())
	require.NoError(t, err)
	require.NoError(t, rotated.Renew("a", time.Now()))
	require.NoError(t, rotated.Renew("b", time.Now()))
	a.Replace(b.Address())
	_, err = a.Call(t.Context(), b.Address(), &ping{})
	require.NoError(t, err)
}

// TestRestartedPeerResetsItsOldConnections guards against a stream that hangs until
// the keep-alive timeout after its peer was killed and restarted on the same address.
// The restarted peer must answer the first packet with a stateless reset. Without the
// padding the packet may have 42 bytes, as many as a reset, and QUIC answers none so small.
func TestRestartedPeerResetsItsOldConnections(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpointAt(t, "127.0.0.1:0", folder, "b", &versions{})
	s, err := a.Open(t.Context(), b.Address(), &ping{})
	require.NoError(t, err)
	_, err = s.Receive(t.Context())
	require.NoError(t, err)

	address := b.Address().String()
	b.Abandon()
	restarted := newEndpointAt(t, address, folder, "b", &versions{})
	defer func() { require.NoError(t, restarted.Stop()) }()
	require.NoError(t, s.Send(&ping{Padding: make([]byte, 32)}))
	_, err = s.Receive(t.Context())
	require.ErrorContains(t, err, "stateless reset")
}

// TestDelayLeavesOutIdleConnections checks that QueueingDelay is positive for a busy connection
// and zero for an idle one, whose last round-trip times may date from a busier period.
// A busy connection whose round trips all take the shortest time has no delay either,
// so the test sends calls until some took longer.
func TestDelayLeavesOutIdleConnections(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	b := newEndpoint(t, folder, "b", &versions{})
	var busy time.Duration
	for round := 0; busy == 0 && round < 100; round++ {
		for range 50 {
			_, err := a.Call(t.Context(), b.Address(), &ping{})
			require.NoError(t, err)
		}
		busy = b.QueueingDelay(certifier.Agent)
	}
	require.Positive(t, busy)
	require.Zero(t, b.QueueingDelay(certifier.Agent))
}
