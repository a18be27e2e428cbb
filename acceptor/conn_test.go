package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/reader"
)

const (
	headLimit = 3 * time.Second
	idleLimit = 12 * time.Second
)

// testServer serves clients by limits that a test sets.
type testServer struct {
	t       *testing.T
	server  *Server
	limits  atomic.Pointer[Limits]
	closed  atomic.Int64 // requests that arrived as their connection was closed
	set     *metrics.Set
	address string
}

// newTestServer returns a server that does not serve before start.
func newTestServer(t *testing.T, clock clockwork.Clock, maxConnections int, handler http.HandlerFunc) *testServer {
	s := &testServer{t: t, set: metrics.NewSet()}
	s.limits.Store(&Limits{HeaderBytes: 16 << 10, HeaderTimeout: headLimit, IdleTimeout: idleLimit})
	s.server = New(Config{
		Name:           "test",
		MaxConnections: maxConnections,
		Limits:         func() Limits { return *s.limits.Load() },
		OnClosed:       func(*http.Request) { s.closed.Add(1) },
		Memory:         reader.NewBudget(1 << 20),
		Clock:          clock,
		Metrics:        s.set,
		Log:            zap.NewNop(),
	}, handler)
	return s
}

func (s *testServer) start() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.address = listener.Addr().String()
	go func() { _ = s.server.Serve(listener) }()
	s.t.Cleanup(func() { _ = s.server.Close() })
}

func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (s *testServer) write(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
}

func (s *testServer) readStatus(conn net.Conn) int {
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

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// lateClock hands the functions of its timers to the test as they fire, in place of running them:
// a busy process may run them late.
type lateClock struct {
	*clockwork.FakeClock
	fired chan func()
}

func newLateClock() lateClock {
	return lateClock{FakeClock: clockwork.NewFakeClock(), fired: make(chan func(), 16)}
}

// AfterFunc starts a timer.
func (c lateClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return c.FakeClock.AfterFunc(d, func() { c.fired <- f })
}

// waitForTimer waits until a timer runs.
func waitForTimer(t *testing.T, clock *clockwork.FakeClock) {
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
}

func waitForPhase(c *Conn, p Phase) {
	for {
		c.mu.Lock()
		now := c.phase
		c.mu.Unlock()
		if now == p {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that were passed on and cut off, as the timer of their connection had
// fired just before they arrived.
func TestRequestInProgressIsNotCutByATimerThatHadFired(t *testing.T) {
	for name, kept := range map[string]bool{"the first request": false, "a request on a kept connection": true} {
		t.Run(name, func(t *testing.T) {
			clock := newLateClock()
			begun, goOn := make(chan struct{}), make(chan struct{})
			s := newTestServer(t, clock, 0, func(http.ResponseWriter, *http.Request) {
				begun <- struct{}{}
				<-goOn
			})
			s.start()
			conn := s.dial()
			limit := headLimit
			if kept {
				s.write(conn, request)
				<-begun
				goOn <- struct{}{}
				require.Equal(t, http.StatusOK, s.readStatus(conn))
				limit = idleLimit
			}
			waitForTimer(t, clock.FakeClock)
			clock.Advance(limit)
			expire := <-clock.fired
			s.write(conn, request)
			<-begun
			expire()
			goOn <- struct{}{}
			require.Equal(t, http.StatusOK, s.readStatus(conn))
		})
	}
}

// Guards against requests that are passed on although their connection has just been closed.
func TestRequestOnAConnectionThatALimitClosedIsNotServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	served := atomic.Int64{}
	s := newTestServer(t, clock, 0, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	requests, left, ended := 0, make(chan struct{}), make(chan struct{})
	s.server.server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateActive {
			requests++
			if requests == 2 { // The head has been read, and net/http is about to call the handler.
				clock.Advance(idleLimit)
				<-left
			}
		}
		changeState(conn, state)
		if state == http.StateClosed {
			close(ended)
		}
	}
	s.start()
	conn := s.dial()
	s.write(conn, request)
	require.Equal(t, http.StatusOK, s.readStatus(conn))
	waitForTimer(t, clock)
	clock.Advance(time.Second)
	s.write(conn, request)
	_, err := io.ReadAll(conn)
	close(left)
	require.NoError(t, err)
	<-ended
	require.EqualValues(t, 1, served.Load(), "the second request was served")
	require.EqualValues(t, 1, s.closed.Load())
}

// Guards against a head that is cut off as the time of the idle connection ends.
func TestHeadThatArrivesAsTheIdleTimeEndsIsServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newTestServer(t, clock, 0, func(http.ResponseWriter, *http.Request) {})
	accepted := make(chan *Conn, 1)
	s.server.server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted <- conn.(*Conn)
		}
		changeState(conn, state)
	}
	s.start()
	conn := s.dial()
	s.write(conn, request)
	require.Equal(t, http.StatusOK, s.readStatus(conn))
	waitForTimer(t, clock)
	clock.Advance(idleLimit - time.Second)
	s.write(conn, "GET / HTTP/1.1\r\nHo")
	waitForPhase(<-accepted, Head)
	clock.Advance(time.Second)
	require.False(t, isClosed(conn))
	s.write(conn, "st: a.example\r\n\r\n")
	require.Equal(t, http.StatusOK, s.readStatus(conn))
}

// connPair returns the ends of a connection. The test reads from that of the server.
func connPair(t *testing.T, clock clockwork.Clock) (client net.Conn, c *Conn, s *testServer) {
	s = newTestServer(t, clock, 0, nil)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	accepted, err := listener{Listener: l, server: s.server}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), accepted.Close() })
	return client, accepted.(*Conn), s
}

// Guards against limits that count from the wrong moment, or that close a connection on which a
// request has arrived.
func TestLimitOfEachPhase(t *testing.T) {
	idle := func(_ *testing.T, _ net.Conn, c *Conn) {
		changeState(c, http.StateActive)
		changeState(c, http.StateIdle)
	}
	head := func(t *testing.T, client net.Conn, c *Conn) {
		_, err := io.WriteString(client, "G")
		require.NoError(t, err)
		n, err := c.Read(make([]byte, 4))
		require.NoError(t, err)
		require.Equal(t, 1, n)
	}
	unread := func(t *testing.T, client net.Conn, c *Conn) {
		_, err := io.WriteString(client, "G")
		require.NoError(t, err)
		for !c.hasUnread() {
			time.Sleep(time.Millisecond)
		}
	}
	type step func(t *testing.T, client net.Conn, c *Conn)
	for name, test := range map[string]struct {
		before, late []step // before the time passes, and a second before the limit of that phase
		limit        time.Duration
		more         time.Duration // that the connection stays open after limit
		phase        Phase         // in which it is closed
	}{
		"nothing comes":                     {limit: 3 * time.Second, phase: Unused},
		"no other request comes":            {before: []step{idle}, limit: idleLimit, phase: Idle},
		"a head stops":                      {before: []step{head}, limit: 3 * time.Second, phase: Head},
		"a head trickles in":                {before: []step{head}, late: []step{head}, limit: 3 * time.Second, phase: Head},
		"a kept connection's head stops":    {before: []step{idle, head}, limit: 3 * time.Second, phase: Head},
		"the first head starts late":        {late: []step{head}, limit: 3 * time.Second, more: 2 * time.Second, phase: Head},
		"another head starts late":          {before: []step{idle}, late: []step{head}, limit: idleLimit, more: 2 * time.Second, phase: Head},
		"the first head is not read yet":    {late: []step{unread}, limit: 3 * time.Second, more: 3 * time.Second, phase: Head},
		"another head is not read yet":      {before: []step{idle}, late: []step{unread}, limit: idleLimit, more: 3 * time.Second, phase: Head},
		"a connection has just turned idle": {before: []step{idle}, late: []step{idle}, limit: idleLimit, more: idleLimit - time.Second, phase: Idle},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newLateClock()
			client, c, s := connPair(t, clock)
			for _, do := range test.before {
				do(t, client, c)
			}
			clock.Advance(test.limit - time.Second)
			for _, do := range test.late {
				do(t, client, c)
			}
			c.expire()
			require.False(t, c.IsClosed(), "a timer that fires early")
			clock.Advance(time.Second)
			if test.more > 0 {
				c.expire()
				clock.Advance(test.more - time.Nanosecond)
				c.expire()
				require.False(t, c.IsClosed())
				clock.Advance(time.Nanosecond)
			}
			for len(clock.fired) > 0 || !c.IsClosed() {
				(<-clock.fired)()
			}
			require.EqualValues(t, 1, s.set.GetOrCreateCounter(`celeryvalve_test_connections_expired_total{phase="`+string(test.phase)+`"}`).Get())
		})
	}
}

// Guards against connections that are closed by a limit that was raised while they were idle.
func TestRaisedLimitAppliesToIdleConnections(t *testing.T) {
	clock := newLateClock()
	_, c, s := connPair(t, clock)
	changeState(c, http.StateActive)
	changeState(c, http.StateIdle)
	s.limits.Store(&Limits{IdleTimeout: time.Minute})
	clock.Advance(idleLimit)
	(<-clock.fired)()
	require.False(t, c.IsClosed())
	clock.Advance(time.Minute - idleLimit)
	(<-clock.fired)()
	require.True(t, c.IsClosed())
}

// Guards against timers of connections that are closed or serve a request.
func TestTimersRunOnlyWhileALimitApplies(t *testing.T) {
	clock := newLateClock()
	_, c, _ := connPair(t, clock)
	now, cancel := context.WithCancel(t.Context())
	cancel()
	running := func() bool { return clock.BlockUntilContext(now, 1) == nil }
	require.True(t, running())
	changeState(c, http.StateActive)
	require.False(t, running())
	changeState(c, http.StateIdle)
	require.True(t, running())
	require.NoError(t, c.Close())
	require.False(t, running())
	changeState(c, http.StateIdle)
	require.False(t, running(), "net/http goes on with a connection that was closed")
}
