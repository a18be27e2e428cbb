package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/acceptor"
	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/reader"
)

// attemptDialect takes each request for one with an attempt id.
type attemptDialect struct{ Dialect }

func (attemptDialect) ReadCaller(http.Header) CallerHeader { return CallerHeader{Attempt: "a1"} }

func (attemptDialect) WriteOwn(http.Header, identifier.AttemptID, time.Duration) {}

// limitedServer serves callers by limits that a test declares.
type limitedServer struct {
	t       *testing.T
	relayer *Relayer
	server  *acceptor.Server
	clock   *clockwork.FakeClock
	address string
	version int
}

func newLimitedServer(t *testing.T) *limitedServer {
	clock := clockwork.NewFakeClock()
	s := newLimitedServerWith(t, clock, attemptDialect{})
	s.clock = clock
	s.start()
	return s
}

// newLimitedServerWith returns a server that does not serve before start.
func newLimitedServerWith(t *testing.T, clock clockwork.Clock, d Dialect) *limitedServer {
	r := New(balancer.New(balancer.Config{}), d, nil, nil, reader.NewBudget(64<<20), clock, metrics.NewSet(), zap.NewNop(), 1)
	return &limitedServer{t: t, relayer: r, server: r.Server(0)}
}

func (s *limitedServer) start() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.address = listener.Addr().String()
	go func() { _ = s.server.Serve(listener) }()
	s.t.Cleanup(func() { _ = s.server.Close() })
}

func (s *limitedServer) declare(l declarer.Limits) {
	s.version++
	s.relayer.Declare(declarer.NewIndex(declarer.Declaration{Version: identifier.ConfigurationVersion(s.version), Limits: l}), nil)
}

func (s *limitedServer) dial() net.Conn {
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// status sends a request with a header of n bytes, and returns the status of the response: 404 if
// the headers are accepted, as there is no route.
func (s *limitedServer) status(conn net.Conn, n int) int {
	s.write(conn, fmt.Sprintf("GET / HTTP/1.1\r\nHost: a.example\r\nCookie: %s\r\n\r\n", strings.Repeat("c", n)))
	return s.readStatus(conn)
}

func (s *limitedServer) write(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
}

func (s *limitedServer) readStatus(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err, "the connection was closed without an answer")
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(s.t, err)
	return response.StatusCode
}

// isClosed reports whether the server has closed the connection, which sends nothing else.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against limits that are those of the first declaration for ever: headers within a raised
// limit got 431 (review case 4).
func TestLimitsAreThoseInForce(t *testing.T) {
	s := newLimitedServer(t)
	s.declare(declarer.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second})
	kept := s.dial()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.status(s.dial(), 30_000))
	require.Equal(t, http.StatusNotFound, s.status(kept, 10_000))

	s.declare(declarer.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 30 * time.Second, IdleTimeout: time.Minute})
	require.Equal(t, http.StatusNotFound, s.status(s.dial(), 30_000))
	require.Equal(t, http.StatusNotFound, s.status(kept, 30_000), "also on a connection from before")

	slow := s.dial()
	time.Sleep(50 * time.Millisecond) // the timers of both connections run
	s.clock.Advance(20 * time.Second)
	require.False(t, isClosed(kept) || isClosed(slow), "both are within the new limits")
	s.clock.Advance(20 * time.Second)
	require.True(t, isClosed(slow))
	require.False(t, isClosed(kept))
	s.clock.Advance(30 * time.Second)
	require.True(t, isClosed(kept))

	s.declare(declarer.Limits{HeaderBytes: 16 << 10})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.status(s.dial(), 30_000), "a lower limit counts too")
}
