package relayer

import (
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// fullListener returns the address of a listener that completes no further connection.
func fullListener(t *testing.T) netip.AddrPort {
	listen, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(listen) })
	loopback := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	require.NoError(t, unix.Bind(listen, loopback))
	require.NoError(t, unix.Listen(listen, 0))
	bound, err := unix.Getsockname(listen)
	require.NoError(t, err)
	addr := bound.(*unix.SockaddrInet4)
	waiting, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(waiting) })
	require.NoError(t, unix.Connect(waiting, addr))
	return netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), uint16(addr.Port))
}

// Guards against upstreams that count as unreachable, and tests that wait in vain, where a
// process gets no processor for a second: the time to connect went by another clock than all else.
func TestTimeToConnectGoesByTheClockOfTheProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	addr := fullListener(t)
	failed := make(chan error)
	go func() {
		_, err := dial(t.Context(), clock, addr)
		failed <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(connectTimeout)
	require.Error(t, <-failed)
}
