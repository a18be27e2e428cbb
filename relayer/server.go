package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Server is an HTTP server for callers, which obeys the limits as they are declared: those of
// http.Server can't be changed while it serves.
type Server struct {
	relayer *Relayer
	server  *http.Server
}

// Server returns a server for callers.
func (r *Relayer) Server() *Server {
	s := &Server{relayer: r}
	s.server = &http.Server{
		Handler:        http.HandlerFunc(s.serve),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(r.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		ConnState:      changeState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerConnectionKey{}, conn)
		},
	}
	return s
}

// Serve serves the callers that connect to a TCP listener. Like that of http.Server, it returns
// http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(callerListener{Listener: listener, relayer: s.relayer})
}

// Shutdown stops listening, closes idle connections and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	return s.server.Close()
}

// serve serves a request unless its connection was closed as it arrived. It must not run then, as
// its caller gets no answer.
func (s *Server) serve(w http.ResponseWriter, req *http.Request) {
	if conn, ok := req.Context().Value(callerConnectionKey{}).(*callerConnection); ok && conn.isClosed() {
		s.relayer.meters.crossed.Inc()
		s.relayer.log.Info("Request arrived as its connection was closed.", zap.String("request", string(s.relayer.dialect.ReadCaller(req.Header).Attempt)))
		panic(http.ErrAbortHandler)
	}
	s.relayer.ServeHTTP(w, req)
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	relayer *Relayer
}

// Accept waits for the next caller.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.relayer.meters.connections.Inc()
	c, err := newCallerConnection(conn, l.relayer)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// callerConnectionKey is the context key of a request's callerConnection.
type callerConnectionKey struct{}

// phase is what a callerConnection waits for.
type phase string

const (
	phaseUnused  phase = "Unused"  // for the first request
	phaseIdle    phase = "Idle"    // for another request
	phaseHead    phase = "Head"    // for the rest of a head
	phaseServing phase = "Serving" // for a body, which has a limit of its own, or an answer
	phaseClosed  phase = "Closed"
)

// callerConnection is a connection of a caller that closes itself when it is idle for too long or
// a head does not arrive in time. The same lock guards this decision and the beginning of a
// request, so that no request is served whose connection has been closed.
type callerConnection struct {
	*net.TCPConn
	raw     syscall.RawConn
	relayer *Relayer

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	timer clockwork.Timer
}

func newCallerConnection(conn net.Conn, r *Relayer) (*callerConnection, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("can't serve callers on %s (use a TCP listener)", conn.LocalAddr().Network())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &callerConnection{TCPConn: tcp, raw: raw, relayer: r, phase: phaseUnused, since: r.clock.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = r.clock.AfterFunc(c.timeout(), c.expire)
	return c, nil
}

// timeout returns how long the phase may last by the limits in force.
func (c *callerConnection) timeout() time.Duration {
	if c.phase == phaseIdle {
		return c.relayer.limits().IdleTimeout + serverIdleMargin
	}
	return c.relayer.limits().HeaderTimeout
}

// enter begins a phase.
func (c *callerConnection) enter(p phase) {
	c.phase, c.since = p, c.relayer.clock.Now()
	if p == phaseServing || p == phaseClosed {
		c.timer.Stop()
		return
	}
	c.timer.Reset(c.timeout())
}

// expire closes the connection if its phase has lasted for too long.
func (c *callerConnection) expire() {
	if c.endPhase() {
		_ = c.TCPConn.Close()
	}
}

// endPhase enters phaseClosed and returns true if the phase has lasted for too long.
func (c *callerConnection) endPhase() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.phase == phaseClosed {
		return false
	}
	// Time remains if the limit was raised, or if another phase began just as the timer fired.
	if remaining := c.timeout() - c.relayer.clock.Since(c.since); remaining > 0 {
		c.timer.Reset(remaining)
		return false
	}
	if c.beforeHead() && c.hasUnread() {
		c.enter(phaseHead)
		return false
	}
	c.relayer.meters.countExpiry(c.phase)
	c.enter(phaseClosed)
	return true
}

func (c *callerConnection) beforeHead() bool {
	return c.phase == phaseUnused || c.phase == phaseIdle
}

// hasUnread reports whether bytes have arrived that were not read. It does not wait for a Read in
// progress.
func (c *callerConnection) hasUnread() bool {
	n := 0
	err := c.raw.Control(func(fd uintptr) { n, _ = peek(fd) })
	return err == nil && n > 0
}

// peek returns 1 if there is a byte to read, without reading it, or an error.
func peek(fd uintptr) (int, error) {
	var buf [1]byte
	n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// Read reads from the connection.
func (c *callerConnection) Read(p []byte) (int, error) {
	c.awaitHead()
	return c.TCPConn.Read(p)
}

// awaitHead waits until a head begins. It enters its phase before the bytes are read, so that
// endPhase finds either the phase or unread bytes. If it fails, reading from the connection does
// too.
func (c *callerConnection) awaitHead() {
	c.mu.Lock()
	wait := c.beforeHead()
	c.mu.Unlock()
	if !wait {
		return
	}
	_ = c.raw.Read(func(fd uintptr) bool {
		n, err := peek(fd)
		if n > 0 {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.beforeHead() {
				c.enter(phaseHead)
			}
		}
		return !errors.Is(err, unix.EAGAIN)
	})
}

// Close closes the connection.
func (c *callerConnection) Close() error {
	c.mu.Lock()
	c.enter(phaseClosed)
	c.mu.Unlock()
	// This waits for readers, which may wait for the lock.
	return c.TCPConn.Close()
}

func (c *callerConnection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseClosed
}

// changeState follows the states in net/http: a connection is active once a head is complete, and
// idle after the response.
func changeState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConnection)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseClosed:
	case state == http.StateActive:
		c.enter(phaseServing)
	case state == http.StateIdle:
		c.enter(phaseIdle)
	}
}
