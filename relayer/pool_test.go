package relayer

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Sixteen entries together stay below what an upstream takes: it resets what is
// beyond, and a request that must not be repeated is then lost. (Found on
// grown deployment of Mezghani: 1,263 of 2,743 registrations.)
func TestIdleConnectionsStayWithinTheirShare(t *testing.T) {
	for _, declared := range []int{48, 54, 68, 130, 394} {
		require.LessOrEqual(t, 16*idleLimit(declared), declared/2, "of %d", declared)
		require.Positive(t, idleLimit(declared))
	}
	p := newPool(clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)))
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	closed := 0
	for range 5 {
		here, there := net.Pipe()
		p.put(addr, &connection{conn: here, reader: bufio.NewReader(here)}, http.Header{}, idleLimit(68))
		_ = there.SetReadDeadline(time.Now())
		var one [1]byte
		if _, err := there.Read(one[:]); err != nil && !isTimeout(err) {
			closed++
		}
	}
	require.Len(t, p.idle[addr], 2)
	require.Equal(t, 3, closed)
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

func TestKeepAliveLimit(t *testing.T) {
	require.Equal(t, 4500*time.Millisecond, keepAliveLimit("timeout=5, max=100"))
	require.Equal(t, idleDefault, keepAliveLimit(""))
	require.Equal(t, idleDefault, keepAliveLimit("timeout=soon"))
}
