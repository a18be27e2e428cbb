package linker_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/imitator"
	"celeryvalve/linker"
)

// The addresses depend on the process ID, so that several test processes can run at the
// same time.
var (
	targetAddress = testAddress(1)
	listenAddress = testAddress(2)
	callerAddress = testAddress(3)
)

func testAddress(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:19441", 64+pid>>8&63, pid&255, n)
}

func newLink(t *testing.T) *linker.Link {
	return linker.New(linker.Settings{}, 1, clockwork.NewRealClock())
}

// forwardTCP runs an echo server as the target and forwards TCP connections to it.
func forwardTCP(t *testing.T, link *linker.Link) {
	target, err := net.Listen("tcp", targetAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	run(t, func(ctx context.Context) error {
		return link.ForwardTCP(ctx, linker.Forward{Listen: listenAddress, Target: targetAddress})
	})
}

func run(t *testing.T, forward func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- forward(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

func dial(t *testing.T) net.Conn {
	var conn net.Conn
	require.Eventually(t, func() bool {
		var err error
		conn, err = net.Dial("tcp", listenAddress)
		return err == nil
	}, time.Minute, time.Millisecond)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func requireEcho(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

func TestTCPForwardsAndHalfCloses(t *testing.T) {
	link := newLink(t)
	link.Set(linker.Settings{Rate: 10e6})
	forwardTCP(t, link)
	conn := dial(t)
	text := strings.Repeat("x", 100_000)
	go func() {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
	require.EqualValues(t, 100_000, link.Counters().Outward)
	require.EqualValues(t, 100_000, link.Counters().Inward)
}

func TestTCPFaults(t *testing.T) {
	link := newLink(t)
	forwardTCP(t, link)
	old := dial(t)
	requireEcho(t, old, "before")

	link.Set(linker.Settings{Freeze: true})
	_, err := io.WriteString(old, "held")
	require.NoError(t, err)
	link.Set(linker.Settings{})
	got := make([]byte, 4)
	_, err = io.ReadFull(old, got)
	require.NoError(t, err)

	link.Silence()
	_, err = io.WriteString(old, "lost")
	require.NoError(t, err)
	fresh := dial(t)
	requireEcho(t, fresh, "after")
	require.NoError(t, old.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = old.Read(got)
	require.ErrorContains(t, err, "timeout") // neither data nor a close

	link.Set(linker.Settings{Cut: true})
	_, err = fresh.Read(got)
	require.Error(t, err)
}

func TestUDPSilenceSparesNewConnections(t *testing.T) {
	link := newLink(t)
	target, err := net.ListenPacket("udp", targetAddress)
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	go func() {
		buf := make([]byte, 100)
		for {
			n, addr, err := target.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = target.WriteTo(buf[:n], addr)
		}
	}()
	run(t, func(ctx context.Context) error {
		return link.ForwardUDP(ctx, linker.Forward{Listen: listenAddress, Target: targetAddress})
	})
	conn, err := net.Dial("udp", listenAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()

	echoes := func(packet string) bool {
		_, _ = conn.Write([]byte(packet))
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		buf := make([]byte, 100)
		n, err := conn.Read(buf)
		return err == nil && string(buf[:n]) == packet
	}
	requireEchoed := func(packet string) {
		require.Eventually(t, func() bool { return echoes(packet) }, time.Minute, time.Millisecond)
	}
	requireEchoed("\x40old1")
	link.Silence()
	require.False(t, echoes("\x40old1"))
	requireEchoed("\x40new1")
	requireEchoed("\xc0old1") // long header: a handshake
	link.Set(linker.Settings{Loss: 1})
	require.False(t, echoes("\x40new1"))
	require.Positive(t, link.Counters().Dropped)
}

func TestRateAndDelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	delay := imitator.Duration(time.Second)
	link := linker.New(linker.Settings{Rate: 10, Delay: delay}, 1, clock)
	forwardTCP(t, link)
	conn := dial(t)
	_, err := io.WriteString(conn, "0123456789")
	require.NoError(t, err)
	// Ten bytes take one second at this rate, and the delay takes another. The echo counts
	// as Inward only after both.
	for _, step := range []time.Duration{900 * time.Millisecond, 100 * time.Millisecond, 900 * time.Millisecond} {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		require.EqualValues(t, 0, link.Counters().Inward)
		clock.Advance(step)
	}
	require.EqualValues(t, 0, link.Counters().Inward)
	clock.Advance(100 * time.Millisecond)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	require.EqualValues(t, 10, link.Counters().Inward)
}

func TestControl(t *testing.T) {
	link := newLink(t)
	srv := httptest.NewServer(link.Handler())
	defer srv.Close()
	post := func(body string) int {
		resp, err := http.Post(srv.URL+"/link", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, post(`{"Rate":2500000,"Delay":"2ms","Cut":true}`))
	require.True(t, link.Settings().Cut)
	require.Equal(t, http.StatusBadRequest, post(`{"rate":"2500000 bits"}`))
}
