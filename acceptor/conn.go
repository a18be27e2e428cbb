package acceptor

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
	"golang.org/x/sys/unix"

	"celeryvalve/reader"
)

// Conn is a connection of a client. It closes itself when it is idle for too long or a head does not
// arrive in time.
type Conn struct {
	*net.TCPConn
	raw    syscall.RawConn
	server *Server
	memory *reader.Reservation // of the head

	mu    sync.Mutex
	phase Phase
	// since is when the phase began.
	since time.Time
	place place
	timer clockwork.Timer
	head  headSize
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// ConnOf returns the connection on which a request has arrived, or nil if no Server serves it.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// connOf returns the Conn of a connection of net/http, or nil if there is none.
func connOf(conn net.Conn) *Conn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

func newConn(conn net.Conn, s *Server) (*Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("can't serve clients on %s (use a TCP listener)", conn.LocalAddr().Network())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: tcp, raw: raw, server: s, memory: s.cfg.Memory.Reserve()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = s.cfg.Clock.AfterFunc(s.cfg.Limits().HeaderTimeout, c.expire)
	c.enter(Unused)
	return c, nil
}

// timeout returns how long the phase may last by the limits in force.
func (c *Conn) timeout() time.Duration {
	if c.phase == Idle {
		return c.server.cfg.Limits().IdleTimeout
	}
	return c.server.cfg.Limits().HeaderTimeout
}

// timed reports whether the phase has a limit here: a body or an answer has one of its handler.
func (c *Conn) timed() bool {
	return c.beforeHead() || c.phase == Head
}

// enter begins a phase.
func (c *Conn) enter(p Phase) {
	now := c.server.cfg.Clock.Now()
	c.place = c.server.connections.move(c, c.place, p, now)
	c.phase, c.since = p, now
	if p == Idle || p == Closed {
		c.releaseHead()
	}
	if !c.timed() {
		c.timer.Stop()
		return
	}
	c.timer.Reset(c.timeout())
}

// expire closes the connection if its phase has lasted for too long.
func (c *Conn) expire() {
	if c.endPhase() {
		_ = c.TCPConn.Close()
	}
}

// endPhase enters Closed and returns true if the phase has lasted for too long.
func (c *Conn) endPhase() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.timed() {
		return false
	}
	// Time remains if the limit was raised, or if another phase began just as the timer fired.
	if remaining := c.timeout() - c.server.cfg.Clock.Since(c.since); remaining > 0 {
		c.timer.Reset(remaining)
		return false
	}
	if c.beforeHead() && c.hasUnread() {
		c.enter(Head)
		return false
	}
	c.server.meters.expired(c.phase)
	c.enter(Closed)
	return true
}

// closeIn closes the connection if it is still in the phase.
func (c *Conn) closeIn(p Phase) bool {
	c.mu.Lock()
	if c.phase != p {
		c.mu.Unlock()
		return false
	}
	if c.beforeHead() && c.hasUnread() {
		c.enter(Head)
		c.mu.Unlock()
		return false
	}
	c.enter(Closed)
	c.mu.Unlock()
	_ = c.TCPConn.Close()
	return true
}

func (c *Conn) beforeHead() bool {
	return c.phase == Unused || c.phase == Idle
}

// hasUnread reports whether bytes have arrived that were not read. It does not wait for a Read in
// progress.
func (c *Conn) hasUnread() bool {
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
func (c *Conn) Read(p []byte) (int, error) {
	c.awaitHead()
	n, err := c.TCPConn.Read(p)
	if refusal := c.countHead(p[:n]); refusal != nil {
		return 0, c.refuse(refusal)
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.pass(Serving, Answer)
	defer c.pass(Answer, Serving)
	return c.TCPConn.Write(p)
}

// awaitHead waits until a head begins. It enters its phase before the bytes are read, so that
// endPhase finds either the phase or unread bytes. If it fails, reading from the connection does
// too.
func (c *Conn) awaitHead() {
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
				c.enter(Head)
			}
		}
		return !errors.Is(err, unix.EAGAIN)
	})
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.enter(Closed)
	c.mu.Unlock()
	// This waits for readers, which may wait for the lock.
	return c.TCPConn.Close()
}

// IsClosed reports whether the connection was closed. A request that has arrived on it must not run,
// as its client gets no answer.
func (c *Conn) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == Closed
}

// BeginBody says that the body of a request is being read. It returns a function that says that this
// has ended, and reports whether the connection was closed.
func BeginBody(ctx context.Context) (end func() (closed bool)) {
	c := ConnOf(ctx)
	if c == nil {
		return func() bool { return false }
	}
	c.pass(Serving, Body)
	return func() bool {
		c.pass(Body, Serving)
		return c.IsClosed()
	}
}

// pass enters a phase from another one. It does nothing in any other phase.
func (c *Conn) pass(from, to Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == from {
		c.enter(to)
	}
}

// changeState follows the states in net/http: a connection is active once a head is complete, and
// idle after the response.
func changeState(conn net.Conn, state http.ConnState) {
	c := connOf(conn)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == Closed:
	case state == http.StateActive:
		c.enter(Serving)
	case state == http.StateIdle:
		c.enter(Idle)
	}
}
