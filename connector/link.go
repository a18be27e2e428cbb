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

// unusedTimeout is how long a connection without streams stays open.
const unusedTimeout = 30 * time.Second

// addrConn manages the outgoing connection to one address. At most one dial runs at a
// time. Other callers of openStream wait for that dial until their own contexts end.
type addrConn struct {
	mu          sync.Mutex
	conn        *quic.Conn
	peer        Peer
	dialDone    chan struct{}
	unusedTimer *time.Timer
	openStreams int
}

func (e *Endpoint) addrConnFor(addr netip.AddrPort) *addrConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	ac := e.addrConns[addr]
	if ac == nil {
		ac = &addrConn{}
		e.addrConns[addr] = ac
	}
	return ac
}

// Replace closes the connection to addr, so that the next stream dials a new one.
func (e *Endpoint) Replace(addr netip.AddrPort) {
	ac := e.addrConnFor(addr)
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.close()
}

func (e *Endpoint) closeAddrConns() {
	e.mu.Lock()
	acs := make([]*addrConn, 0, len(e.addrConns))
	for _, ac := range e.addrConns {
		acs = append(acs, ac)
	}
	e.mu.Unlock()
	for _, ac := range acs {
		ac.mu.Lock()
		ac.close()
		ac.mu.Unlock()
	}
}

func (ac *addrConn) close() {
	if ac.conn == nil {
		return
	}
	_ = ac.conn.CloseWithError(0, "replaced")
	ac.conn = nil
}

// openStream opens a stream to addr. It dials a connection if there is none.
func (e *Endpoint) openStream(ctx context.Context, addr netip.AddrPort) (*Stream, error) {
	ac := e.addrConnFor(addr)
	for {
		s, wait, err := e.tryStream(ac, addr)
		if s != nil || err != nil {
			return s, err
		}
		if wait == nil {
			if err := e.dial(ctx, ac, addr); err != nil {
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

// tryStream opens a stream if there is a connection. Otherwise it returns a channel
// that is closed when the running dial ends. If no dial runs, all results are nil and
// the caller must call dial.
func (e *Endpoint) tryStream(ac *addrConn, addr netip.AddrPort) (*Stream, <-chan struct{}, error) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.conn != nil && ac.conn.Context().Err() != nil {
		ac.conn = nil
	}
	if ac.conn == nil {
		if ac.dialDone != nil {
			return nil, ac.dialDone, nil
		}
		ac.dialDone = make(chan struct{})
		return nil, nil, nil
	}
	raw, err := ac.conn.OpenStream()
	if err != nil {
		ac.close()
		return nil, nil, explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't open a stream to %s", addr), "try again")
	}
	s := newStream(e, raw, ac.peer)
	s.release = ac.acquire()
	return s, nil, nil
}

// dial connects ac to addr. It then wakes the callers that wait for the dial, even if
// it failed.
func (e *Endpoint) dial(ctx context.Context, ac *addrConn, addr netip.AddrPort) error {
	conn, err := e.connect(ctx, addr)
	ac.mu.Lock()
	defer ac.mu.Unlock()
	close(ac.dialDone)
	ac.dialDone = nil
	if err != nil {
		return err
	}
	ac.conn = conn
	ac.peer = peerOf(conn)
	return nil
}

func (e *Endpoint) connect(ctx context.Context, addr netip.AddrPort) (*quic.Conn, error) {
	tlsConfig, err := e.source.ClientConfig(alpnProtocol)
	if err != nil {
		return nil, err
	}
	conn, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), tlsConfig, e.cfg.quicConfig())
	if err != nil {
		return nil, unreachable(err, addr)
	}
	return conn, nil
}

func unreachable(cause error, addr netip.AddrPort) error {
	return explainer.Wrap(cause, explainer.Unavailable, fmt.Sprintf("can't connect to %s", addr),
		"check that a process listens on this address and that the same authority issued both certificates")
}

// acquire counts one more open stream and returns the function that ends the count.
// The connection is closed after unusedTimeout without open streams. The caller must
// hold ac.mu.
func (ac *addrConn) acquire() func() {
	ac.openStreams++
	if ac.unusedTimer != nil {
		ac.unusedTimer.Stop()
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			ac.mu.Lock()
			defer ac.mu.Unlock()
			ac.openStreams--
			if ac.openStreams == 0 {
				ac.unusedTimer = time.AfterFunc(unusedTimeout, ac.closeUnused)
			}
		})
	}
}

func (ac *addrConn) closeUnused() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.openStreams == 0 {
		ac.close()
	}
}
