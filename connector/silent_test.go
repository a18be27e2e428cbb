package connector_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay passes datagrams between one peer and target until it is cut.
type relay struct {
	conn   *net.UDPConn
	target netip.AddrPort
	cut    atomic.Bool
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r := &relay{conn: conn, target: target}
	go r.run()
	return r
}

func (r *relay) address() netip.AddrPort {
	return r.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (r *relay) run() {
	const maxDatagram = 64 << 10
	buf := make([]byte, maxDatagram)
	var peer netip.AddrPort
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		to := peer
		if from != r.target {
			peer, to = from, r.target
		}
		if !r.cut.Load() {
			_, _ = r.conn.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}

// Guards against calls of a silent peer that outlast their callers: a message beyond the congestion window, as a large
// configuration, was sent for as long as the connection lived (incident SHORT).
func TestCallOfASilentPeerEndsWithItsContext(t *testing.T) {
	const large = 4 << 20
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	r := newRelay(t, newEndpoint(t, folder, "b", &versions{}).Address())
	_, err := a.Call(t.Context(), r.address(), &ping{})
	require.NoError(t, err)
	r.cut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, r.address(), &ping{Padding: make([]byte, large)})
	require.ErrorIs(t, err, context.DeadlineExceeded, "it ended with the connection")
}
