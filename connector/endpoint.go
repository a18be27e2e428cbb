package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	protocol   = "celeryvalve/1"
	resetLabel = "connector reset"

	keepAlivePeriod    = 2 * time.Second
	silenceTimeout     = 6 * time.Second
	handshakeTimeout   = 3 * time.Second
	maxStreams         = 4096
	streamWindow       = 256 << 10
	maxStreamWindow    = 1 << 20
	connectionWindow   = 512 << 10
	maxConnectionWndow = 4 << 20
	firstFrameTimeout  = 5 * time.Second
)

// Versions knows the configuration version of this process.
type Versions interface {
	// Current returns the version in force here.
	Current() identifier.ConfigurationVersion
	// Observe is told the version that a peer's message carried.
	Observe(peer netip.AddrPort, version identifier.ConfigurationVersion)
	// Await waits a bounded time until the version is in force here.
	Await(ctx context.Context, version identifier.ConfigurationVersion)
}

// Handler serves one stream that a peer opened. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream, first any)

// Config is where an endpoint listens.
type Config struct {
	Listen netip.AddrPort
}

// Endpoint listens and dials on one UDP socket.
type Endpoint struct {
	cfg      Config
	codec    *encoder.Codec
	source   *certifier.Source
	versions Versions
	logger   *zap.Logger

	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	serving   sync.WaitGroup

	mu       sync.Mutex
	handlers map[encoder.Kind]Handler
	links    map[netip.AddrPort]*link
	outboxes map[netip.AddrPort]chan any
	accepted map[*quic.Conn]Peer
	traffic  traffic
}

// New returns an endpoint that is not started.
func New(cfg Config, codec *encoder.Codec, source *certifier.Source, versions Versions, logger *zap.Logger) *Endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{
		cfg:      cfg,
		codec:    codec,
		source:   source,
		versions: versions,
		logger:   logger.Named("connector"),
		ctx:      ctx,
		cancel:   cancel,
		handlers: make(map[encoder.Kind]Handler),
		links:    make(map[netip.AddrPort]*link),
		outboxes: make(map[netip.AddrPort]chan any),
		accepted: make(map[*quic.Conn]Peer),
	}
}

// Handle serves streams whose first message is of the kind. Call it before Start.
func (e *Endpoint) Handle(kind encoder.Kind, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// Start binds the socket and begins to serve.
func (e *Endpoint) Start() error {
	secret, err := e.source.Secret(resetLabel)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.cfg.Listen))
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on UDP %s", e.cfg.Listen),
			"choose an address of this machine that no other process uses")
	}
	// A process that restarts on its address tells peers at once that their old
	// connections are gone, where they would wait for silenceTimeout.
	resetKey := quic.StatelessResetKey(secret)
	e.transport = &quic.Transport{Conn: conn, StatelessResetKey: &resetKey}
	e.listener, err = e.transport.Listen(e.source.Server(protocol), quicConfig())
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	e.serving.Add(1)
	go e.accept()
	return nil
}

// Stop ends every connection and waits for the handlers.
func (e *Endpoint) Stop() error {
	e.cancel()
	if e.transport == nil {
		return nil
	}
	err := e.listener.Close()
	e.closeLinks()
	err = errors.Join(err, e.transport.Close())
	e.serving.Wait()
	return errors.Join(err, e.transport.Conn.Close())
}

// Address returns the address that the endpoint is bound to.
func (e *Endpoint) Address() netip.AddrPort {
	return netip.MustParseAddrPort(e.transport.Conn.LocalAddr().String())
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 silenceTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWndow,
	}
}

func (e *Endpoint) accept() {
	defer e.serving.Done()
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.serving.Add(1)
		go func() {
			defer e.serving.Done()
			e.serveConnection(conn)
		}()
	}
}

func (e *Endpoint) serveConnection(conn *quic.Conn) {
	peer := peerOf(conn)
	e.mu.Lock()
	e.accepted[conn] = peer
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
		e.serving.Add(1)
		go func() {
			defer e.serving.Done()
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
		e.logger.Debug("Dropped a stream without a first message.", zap.Stringer("peer", s.peer.Address), zap.Error(err))
		s.Cancel()
		return
	}
	e.mu.Lock()
	h := e.handlers[header.Kind]
	e.mu.Unlock()
	if h == nil {
		e.logger.Warn("Refused a message of a kind that is not served here.",
			zap.String("kind", string(header.Kind)), zap.Stringer("peer", s.peer.Address))
		s.Cancel()
		return
	}
	e.versions.Await(ctx, header.ConfigurationVersion)
	h(ctx, s, first)
}

// Delay returns the longest time that packets now spend in queues on the way to
// and from peers of the role that dialled this process: the smoothed round trip
// less the shortest one seen.
func (e *Endpoint) Delay(role certifier.Role) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var longest time.Duration
	for conn, peer := range e.accepted {
		if !peer.Has(role) {
			continue
		}
		stats := conn.ConnectionStats()
		longest = max(longest, stats.SmoothedRTT-stats.MinRTT)
	}
	return longest
}

// Peer is the other end of a connection, as its certificate names it.
type Peer struct {
	Name    string
	Roles   []certifier.Role
	Address netip.AddrPort
}

// Has reports whether the peer holds the role.
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
