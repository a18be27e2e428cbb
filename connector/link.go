package connector

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"celeryvalve/explainer"
)

// unusedTimeout is how long a connection without streams is kept.
const unusedTimeout = 30 * time.Second

// link is the connection to one address. At most one dial runs at a time; those
// who wait for it do so no longer than their own contexts last.
type link struct {
	mu      sync.Mutex
	conn    *quic.Conn
	peer    Peer
	pending chan struct{}
	idle    *time.Timer
	open    int
}

func (e *Endpoint) linkTo(addr netip.AddrPort) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[addr]
	if l == nil {
		l = &link{}
		e.links[addr] = l
	}
	return l
}

// Replace drops the connection to addr, so that the next use dials a new one.
func (e *Endpoint) Replace(addr netip.AddrPort) {
	l := e.linkTo(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.close()
}

func (e *Endpoint) closeLinks() {
	e.mu.Lock()
	links := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		links = append(links, l)
	}
	e.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		l.close()
		l.mu.Unlock()
	}
}

func (l *link) close() {
	if l.conn == nil {
		return
	}
	_ = l.conn.CloseWithError(0, "replaced")
	l.conn = nil
}

// openStream opens a stream on a live connection, dialling one when needed.
func (e *Endpoint) openStream(ctx context.Context, addr netip.AddrPort) (*Stream, error) {
	l := e.linkTo(addr)
	for {
		s, wait, err := e.tryStream(l, addr)
		if s != nil || err != nil {
			return s, err
		}
		if wait == nil {
			if err := e.dial(ctx, l, addr); err != nil {
				return nil, err
			}
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, unreachable(ctx.Err(), addr)
		}
	}
}

// tryStream opens a stream on the connection, if it lives. Otherwise it returns
// what to wait for, or nothing when the caller is to dial.
func (e *Endpoint) tryStream(l *link, addr netip.AddrPort) (*Stream, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() != nil {
		l.conn = nil
	}
	if l.conn == nil {
		if l.pending != nil {
			return nil, l.pending, nil
		}
		l.pending = make(chan struct{})
		return nil, nil, nil
	}
	raw, err := l.conn.OpenStream()
	if err != nil {
		l.close()
		return nil, nil, explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't open a stream to %s", addr), "try again")
	}
	s := newStream(e, raw, l.peer)
	s.release = l.use()
	return s, nil, nil
}

// dial makes a connection for all who wait for it.
func (e *Endpoint) dial(ctx context.Context, l *link, addr netip.AddrPort) error {
	conn, err := e.connect(ctx, addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.pending)
	l.pending = nil
	if err != nil {
		return err
	}
	l.conn = conn
	l.peer = peerOf(conn)
	return nil
}

func (e *Endpoint) connect(ctx context.Context, addr netip.AddrPort) (*quic.Conn, error) {
	tlsConfig, err := e.source.Client(protocol)
	if err != nil {
		return nil, err
	}
	conn, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), tlsConfig, quicConfig())
	if err != nil {
		return nil, unreachable(err, addr)
	}
	return conn, nil
}

func unreachable(cause error, addr netip.AddrPort) error {
	return explainer.Wrap(cause, explainer.Unavailable, fmt.Sprintf("can't connect to %s", addr),
		"check that the process runs there and that both keys are of one authority")
}

// use counts a stream of the link and returns the function that releases it.
// The connection is closed after unusedTimeout without streams.
func (l *link) use() func() {
	l.open++
	if l.idle != nil {
		l.idle.Stop()
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.open--
			if l.open == 0 {
				l.idle = time.AfterFunc(unusedTimeout, l.closeUnused)
			}
		})
	}
}

func (l *link) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == 0 {
		l.close()
	}
}
