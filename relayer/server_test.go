package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// callerLimits are the limits of the tests of connections.
var callerLimits = declarer.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}

const idleLimit = 10*time.Second + serverIdleMargin

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

// heldDialect holds requests as they are begun.
type heldDialect struct {
	attemptDialect
	begun, goOn chan struct{}
}

// ReadCaller waits for the test.
func (d heldDialect) ReadCaller(h http.Header) CallerHeader {
	d.begun <- struct{}{}
	<-d.goOn
	return d.attemptDialect.ReadCaller(h)
}

// waitForTimer waits until a timer runs.
func waitForTimer(t *testing.T, clock *clockwork.FakeClock) {
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
}

func waitForPhase(c *callerConnection, p phase) {
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
			dialect := heldDialect{begun: make(chan struct{}), goOn: make(chan struct{})}
			s := newLimitedServerWith(t, clock, dialect)
			s.declare(callerLimits)
			s.start()
			conn := s.dial()
			request := "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
			limit := callerLimits.HeaderTimeout
			if kept {
				s.write(conn, request)
				<-dialect.begun
				dialect.goOn <- struct{}{}
				require.Equal(t, http.StatusNotFound, s.readStatus(conn))
				limit = idleLimit
			}
			waitForTimer(t, clock.FakeClock)
			clock.Advance(limit)
			expire := <-clock.fired
			s.write(conn, request)
			<-dialect.begun
			expire()
			dialect.goOn <- struct{}{}
			require.Equal(t, http.StatusNotFound, s.readStatus(conn))
		})
	}
}

// Guards against requests that are passed on although their connection has just been closed.
func TestRequestOnAConnectionThatALimitClosedIsNotServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newLimitedServerWith(t, clock, attemptDialect{})
	s.declare(callerLimits)
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
	require.Equal(t, http.StatusNotFound, s.status(conn, 1))
	arrived := s.relayer.LastArrival()
	waitForTimer(t, clock)
	clock.Advance(time.Second)
	s.write(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	_, err := io.ReadAll(conn)
	close(left)
	require.NoError(t, err)
	<-ended
	require.Equal(t, arrived, s.relayer.LastArrival(), "the second request was served")
	require.EqualValues(t, 1, s.relayer.meters.crossed.Get())
}

// Guards against a head that is cut off as the time of the idle connection ends.
func TestHeadThatArrivesAsTheIdleTimeEndsIsServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newLimitedServerWith(t, clock, attemptDialect{})
	s.declare(callerLimits)
	accepted := make(chan *callerConnection, 1)
	s.server.server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted <- conn.(*callerConnection)
		}
		changeState(conn, state)
	}
	s.start()
	conn := s.dial()
	require.Equal(t, http.StatusNotFound, s.status(conn, 1))
	waitForTimer(t, clock)
	clock.Advance(idleLimit - time.Second)
	s.write(conn, "GET / HTTP/1.1\r\nHo")
	waitForPhase(<-accepted, phaseHead)
	clock.Advance(time.Second)
	require.False(t, isClosed(conn))
	s.write(conn, "st: a.example\r\n\r\n")
	require.Equal(t, http.StatusNotFound, s.readStatus(conn))
}

// callerPair returns the ends of a connection. The test reads from that of the server.
func callerPair(t *testing.T, clock clockwork.Clock) (caller net.Conn, c *callerConnection, s *limitedServer) {
	s = newLimitedServerWith(t, clock, attemptDialect{})
	s.declare(callerLimits)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := callerListener{Listener: listener, relayer: s.relayer}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	return caller, accepted.(*callerConnection), s
}

// Guards against limits that count from the wrong moment, or that close a connection on which a
// request has arrived.
func TestLimitOfEachPhase(t *testing.T) {
	idle := func(_ *testing.T, _ net.Conn, c *callerConnection) {
		changeState(c, http.StateActive)
		changeState(c, http.StateIdle)
	}
	head := func(t *testing.T, caller net.Conn, c *callerConnection) {
		_, err := io.WriteString(caller, "G")
		require.NoError(t, err)
		n, err := c.Read(make([]byte, 4))
		require.NoError(t, err)
		require.Equal(t, 1, n)
	}
	unread := func(t *testing.T, caller net.Conn, c *callerConnection) {
		_, err := io.WriteString(caller, "G")
		require.NoError(t, err)
		for !c.hasUnread() {
			time.Sleep(time.Millisecond)
		}
	}
	type step func(t *testing.T, caller net.Conn, c *callerConnection)
	for name, test := range map[string]struct {
		before, late []step // before the time passes, and a second before the limit of that phase
		limit        time.Duration
		more         time.Duration // that the connection stays open after limit
		phase        phase         // in which it is closed
	}{
		"nothing comes":                     {limit: 3 * time.Second, phase: phaseUnused},
		"no other request comes":            {before: []step{idle}, limit: idleLimit, phase: phaseIdle},
		"a head stops":                      {before: []step{head}, limit: 3 * time.Second, phase: phaseHead},
		"a head trickles in":                {before: []step{head}, late: []step{head}, limit: 3 * time.Second, phase: phaseHead},
		"a kept connection's head stops":    {before: []step{idle, head}, limit: 3 * time.Second, phase: phaseHead},
		"the first head starts late":        {late: []step{head}, limit: 3 * time.Second, more: 2 * time.Second, phase: phaseHead},
		"another head starts late":          {before: []step{idle}, late: []step{head}, limit: idleLimit, more: 2 * time.Second, phase: phaseHead},
		"the first head is not read yet":    {late: []step{unread}, limit: 3 * time.Second, more: 3 * time.Second, phase: phaseHead},
		"another head is not read yet":      {before: []step{idle}, late: []step{unread}, limit: idleLimit, more: 3 * time.Second, phase: phaseHead},
		"a connection has just turned idle": {before: []step{idle}, late: []step{idle}, limit: idleLimit, more: idleLimit - time.Second, phase: phaseIdle},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newLateClock()
			caller, c, s := callerPair(t, clock)
			for _, do := range test.before {
				do(t, caller, c)
			}
			clock.Advance(test.limit - time.Second)
			for _, do := range test.late {
				do(t, caller, c)
			}
			c.expire()
			require.False(t, c.isClosed(), "a timer that fires early")
			clock.Advance(time.Second)
			if test.more > 0 {
				c.expire()
				clock.Advance(test.more - time.Nanosecond)
				c.expire()
				require.False(t, c.isClosed())
				clock.Advance(time.Nanosecond)
			}
			for len(clock.fired) > 0 || !c.isClosed() {
				(<-clock.fired)()
			}
			require.EqualValues(t, 1, s.relayer.meters.set.GetOrCreateCounter(`celeryvalve_caller_connections_expired_total{phase="`+string(test.phase)+`"}`).Get())
		})
	}
}

// Guards against connections that are closed by a limit that was raised while they were idle.
func TestRaisedLimitAppliesToIdleConnections(t *testing.T) {
	clock := newLateClock()
	_, c, s := callerPair(t, clock)
	changeState(c, http.StateActive)
	changeState(c, http.StateIdle)
	s.declare(declarer.Limits{IdleTimeout: time.Minute})
	clock.Advance(idleLimit)
	(<-clock.fired)()
	require.False(t, c.isClosed())
	clock.Advance(time.Minute + serverIdleMargin - idleLimit)
	(<-clock.fired)()
	require.True(t, c.isClosed())
}

// Guards against timers of connections that are closed or serve a request.
func TestTimersRunOnlyWhileALimitApplies(t *testing.T) {
	clock := newLateClock()
	_, c, _ := callerPair(t, clock)
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
