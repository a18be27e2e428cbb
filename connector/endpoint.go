package connector

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	alpnProtocol  = "celeryvalve/1"
	resetKeyLabel = "connector reset"

	keepAlivePeriod  = 2 * time.Second
	keepAliveTimeout = 6 * time.Second
	handshakeTimeout = 3 * time.Second
	maxStreams       = 4096
	streamWindow     = 256 << 10
	maxStreamWindow  = 1 << 20
	// connectionWindow leaves room beside slowStreams streams whose receivers don't read.
	connectionWindow    = slowStreams * streamWindow
	slowStreams         = 64
	maxConnectionWindow = connectionWindow
	firstFrameTimeout   = 5 * time.Second

	// minBusyPackets is how many packets a connection must receive between two calls
	// of QueueingDelay to count as busy. It is more than an idle connection receives through
	// keep-alives.
	minBusyPackets = 8
)

// Versions is the access of an Endpoint to the configuration version of its process.
type Versions interface {
	// Current returns the version that is in force in this process.
	Current() identifier.ConfigurationVersion
	// Observe is called with the configuration version in each received message and
	// the address of the peer that sent it.
	Observe(peer netip.AddrPort, version identifier.ConfigurationVersion)
	// Await waits until the version is in force in this process. It also returns after
	// a limited time or when ctx ends.
	Await(ctx context.Context, version identifier.ConfigurationVersion)
}

// Handler serves one stream that a peer opened. first is the first message of the
// stream. ctx is cancelled when the connection closes. The Endpoint closes the stream
// when the handler returns.
type Handler func(ctx context.Context, s *Stream, first any)

// Config configures an Endpoint.
type Config struct {
	// Listen is the UDP address on which the endpoint listens and from which it dials.
	Listen netip.AddrPort
	// Metrics is the set in which the endpoint registers its metrics. Nil selects a set of
	// its own.
	Metrics *metrics.Set
	// HandshakeTimeout closes a connection if nothing is received for so long before the
	// end of its handshake. Zero means 3 s.
	HandshakeTimeout time.Duration
	// IdleTimeout closes a connection if nothing is received for so long, keep-alives
	// included. Zero means 6 s. The lower one of both peers applies.
	IdleTimeout time.Duration
}

// Endpoint accepts connections and dials peers on one UDP socket.
type Endpoint struct {
	cfg      Config
	codec    *encoder.Codec
	source   *certifier.Source
	versions Versions
	logger   *zap.Logger

	unreadable unreadable
	handshakes handshakes

	transport  *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	handlers  map[encoder.Kind]Handler
	addrConns map[netip.AddrPort]*addrConn
	outboxes  map[netip.AddrPort]chan any
	accepted  map[*quic.Conn]*acceptedConn
	traffic   traffic
}

// New returns an endpoint. Call Start before any method that uses the network.
func New(cfg Config, codec *encoder.Codec, source *certifier.Source, versions Versions, logger *zap.Logger) *Endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	logger = logger.Named("connector")
	return &Endpoint{
		cfg:        cfg,
		codec:      codec,
		source:     source,
		versions:   versions,
		logger:     logger,
		unreadable: newUnreadable(cfg.Metrics, logger),
		ctx:        ctx,
		cancel:     cancel,
		handlers:   make(map[encoder.Kind]Handler),
		addrConns:  make(map[netip.AddrPort]*addrConn),
		outboxes:   make(map[netip.AddrPort]chan any),
		accepted:   make(map[*quic.Conn]*acceptedConn),
	}
}

// Handle registers the handler of the streams whose first message is of the kind. It
// must be called before Start.
func (e *Endpoint) Handle(kind encoder.Kind, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// Start binds the socket and accepts connections in the background.
func (e *Endpoint) Start() error {
	secret, err := e.source.DeriveSecret(resetKeyLabel)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.cfg.Listen))
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on UDP %s", e.cfg.Listen),
			"choose an address of this machine that no other process uses")
	}
	// The key lets a restarted process send stateless resets to peers that still use
	// connections to its predecessor. The peers then close these connections at once
	// instead of after keepAliveTimeout. A reset is no longer than the packet that it
	// answers, so only packets of more than 42 bytes get one: keep-alives do not.
	resetKey := quic.StatelessResetKey(secret)
	e.transport = &quic.Transport{
		Conn:                conn,
		StatelessResetKey:   &resetKey,
		VerifySourceAddress: e.handshakes.validate,
		ConnContext:         e.handshakes.begin,
	}
	e.listener, err = e.transport.Listen(e.source.ServerConfig(alpnProtocol), e.cfg.quicConfig())
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	e.goroutines.Add(1)
	go e.accept()
	return nil
}

// Stop closes every connection, waits for the handlers to return and closes the
// socket.
func (e *Endpoint) Stop() error {
	e.cancel()
	if e.transport == nil {
		return nil
	}
	err := e.listener.Close()
	e.closeAddrConns()
	err = errors.Join(err, e.transport.Close())
	e.goroutines.Wait()
	return errors.Join(err, e.transport.Conn.Close())
}

// Address returns the address that the endpoint is bound to.
func (e *Endpoint) Address() netip.AddrPort {
	return netip.MustParseAddrPort(e.transport.Conn.LocalAddr().String())
}

func (c Config) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           cmp.Or(c.HandshakeTimeout, handshakeTimeout),
		MaxIdleTimeout:                 cmp.Or(c.IdleTimeout, keepAliveTimeout),
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}

func (e *Endpoint) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.handshakes.end(conn.Context())
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			e.serveConnection(conn)
		}()
	}
}

func (e *Endpoint) serveConnection(conn *quic.Conn) {
	peer := peerOf(conn)
	e.mu.Lock()
	e.accepted[conn] = &acceptedConn{peer: peer}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.accepted, conn)
	}()
	for {
		raw, err := conn.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			e.serveStream(conn.Context(), newStream(e, raw, peer))
		}()
	}
}

func (e *Endpoint) serveStream(ctx context.Context, s *Stream) {
	defer s.finish()
	firstCtx, cancel := context.WithTimeout(ctx, firstFrameTimeout)
	header, first, err := s.receive(firstCtx)
	cancel()
	if err != nil {
		e.logger.Debug("Closed a stream: can't receive its first message.", zap.Stringer("peer", s.peer.Address), zap.Error(err))
		s.Cancel()
		return
	}
	e.mu.Lock()
	h := e.handlers[header.Kind]
	e.mu.Unlock()
	if h == nil {
		e.logger.Warn("Closed a stream: this process has no handler for the kind of its first message.",
			zap.String("kind", string(header.Kind)), zap.Stringer("peer", s.peer.Address))
		s.Cancel()
		return
	}
	e.versions.Await(ctx, header.ConfigurationVersion)
	h(ctx, s, first)
}

// QueueingDelay returns an estimate of the time that packets spend in network queues on the
// way to and from the peers of the role that dialled this process. The delay of a
// connection is its smoothed round-trip time minus its shortest one, and QueueingDelay
// returns the longest delay among the connections of these peers. It ignores
// connections that received fewer than minBusyPackets since the previous call, because
// the round-trip times of an idle connection are out of date.
func (e *Endpoint) QueueingDelay(role certifier.Role) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var longest time.Duration
	for conn, a := range e.accepted {
		stats := conn.ConnectionStats()
		busy := stats.PacketsReceived-a.lastPackets >= minBusyPackets
		a.lastPackets = stats.PacketsReceived
		if busy && a.peer.Has(role) {
			longest = max(longest, stats.SmoothedRTT-stats.MinRTT)
		}
	}
	return longest
}

// acceptedConn is a connection that a peer dialled.
type acceptedConn struct {
	peer Peer
	// lastPackets is the number of packets received up to the last call of QueueingDelay.
	lastPackets uint64
}

// Peer identifies the other end of a connection.
type Peer struct {
	// Name and Roles are taken from the certificate of the peer.
	Name    string
	Roles   []certifier.Role
	Address netip.AddrPort
}

// Has reports whether the peer's certificate contains the role.
func (p Peer) Has(role certifier.Role) bool {
	for _, r := range p.Roles {
		if r == role {
			return true
		}
	}
	return false
}

func peerOf(conn *quic.Conn) Peer {
	peer := Peer{}
	if addr, ok := conn.RemoteAddr().(*net.UDPAddr); ok {
		ap := addr.AddrPort()
		peer.Address = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	state := conn.ConnectionState().TLS
	fillIdentity(&peer, state)
	return peer
}

func fillIdentity(peer *Peer, state tls.ConnectionState) {
	if len(state.PeerCertificates) == 0 {
		return
	}
	cert := state.PeerCertificates[0]
	peer.Name = cert.Subject.CommonName
	peer.Roles = certifier.RolesOf(cert)
}
