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

// link is the connection to one address; at most one dial runs at a time.
type link struct {
	mu   sync.Mutex
	conn *quic.Conn
	peer Peer
	idle *time.Timer
	open int
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() != nil {
		l.conn = nil
	}
	if l.conn == nil {
		if err := e.dial(ctx, l, addr); err != nil {
			return nil, err
		}
	}
	raw, err := l.conn.OpenStream()
	if err != nil {
		l.close()
		return nil, explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't open a stream to %s", addr), "try again")
	}
	s := newStream(e, raw, l.peer)
	s.release = e.use(l)
	return s, nil
}

func (e *Endpoint) dial(ctx context.Context, l *link, addr netip.AddrPort) error {
	tlsConfig, err := e.source.Client(protocol)
	if err != nil {
		return err
	}
	conn, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), tlsConfig, quicConfig())
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't connect to %s", addr),
			"check that the process runs there and that both keys are of one authority")
	}
	l.conn = conn
	l.peer = peerOf(conn)
	return nil
}

// use counts a stream of the link and returns the function that releases it.
// The connection is closed after unusedTimeout without streams.
func (e *Endpoint) use(l *link) func() {
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
				l.idle = time.AfterFunc(unusedTimeout, func() { l.closeUnused() })
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
