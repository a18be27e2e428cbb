package acceptor

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sys/unix"

	"celeryvalve/reader"
)

const (
	// receiveBuffer is how many bytes of a connection the kernel holds until they are read, but for
	// what it adds for its own use. It is also the least that a client may send in a round trip.
	receiveBuffer = 16 << 10
	// backlog is how many connections the kernel opens before they are accepted.
	backlog = 256
	// maxHeaderBytes limits the heads of net/http, which come after the limits of a connection.
	maxHeaderBytes = 1 << 20
)

// Limits are the limits on one connection. A limit of 0 holds for nothing.
type Limits struct {
	// HeaderBytes is the size of a head above which it is not read on. What net/http reads at once
	// is added.
	HeaderBytes int
	// HeaderTimeout is how long a head may take to arrive, and IdleTimeout how long a connection may
	// be idle between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config describes a server.
type Config struct {
	// Name is that of the server in its metrics and log lines.
	Name string
	// MaxConnections is how many connections the server may have. Zero means that there is no limit.
	MaxConnections int
	// Limits returns the limits in force.
	Limits func() Limits
	// AnswerTimeout limits the time from the end of a head to that of the answer. Zero leaves it to
	// the handler.
	AnswerTimeout time.Duration
	// OnClosed is told of each request that arrived as its connection was closed, and that is not
	// served therefore. It may be nil.
	OnClosed func(*http.Request)
	// Memory is what heads are taken from.
	Memory  *reader.Budget
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Log     *zap.Logger
}

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	cfg         Config
	log         *zap.Logger
	meters      *meters
	connections *connections
	server      *http.Server
	// encrypted says that the bytes of connections are those of TLS.
	encrypted bool
}

// New returns a server that is not started.
func New(cfg Config, handler http.Handler) *Server {
	if cfg.OnClosed == nil {
		cfg.OnClosed = func(*http.Request) {}
	}
	s := &Server{cfg: cfg, log: newLogger(cfg), connections: newConnections(cfg.MaxConnections)}
	s.meters = newMeters(cfg.Metrics, cfg.Name, s.connections)
	s.server = &http.Server{
		Handler:        s.guard(handler),
		MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout:   cfg.AnswerTimeout,
		ErrorLog:       zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		ConnState:      changeState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(conn))
		},
	}
	return s
}

// newLogger returns a logger that writes each message once a second at most: clients decide how often
// there is something to write.
func newLogger(cfg Config) *zap.Logger {
	return cfg.Log.Named("acceptor").With(zap.String("server", cfg.Name)).WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, 1, 0)
	}))
}

// Serve serves the clients that connect to a TCP listener. Like that of http.Server, it returns
// http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	limitKernel(l)
	return s.server.Serve(listener{Listener: l, server: s})
}

// ServeTLS serves clients as Serve does, by TLS.
func (s *Server) ServeTLS(l net.Listener, cfg *tls.Config) error {
	limitKernel(l)
	s.encrypted = true
	s.server.TLSConfig = cfg
	return s.server.ServeTLS(listener{Listener: l, server: s}, "", "")
}

// Shutdown stops listening, closes idle connections and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	return s.server.Close()
}

// guard passes on the requests that may be served.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		switch {
		case c == nil:
		case c.IsClosed():
			s.cfg.OnClosed(r)
			panic(http.ErrAbortHandler)
		case !c.reserveHead(r):
			s.meters.headsWithoutMemory.Inc()
			w.Header().Set("Retry-After", strconv.Itoa(refusedRetryAfter))
			w.Header().Set("Connection", "close")
			http.Error(w, noMemoryProblem, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitKernel limits how many connections the kernel holds until they are accepted, and how much of
// each until it is read: that is memory which no process sees. A listener that can't be limited
// serves as well.
func limitKernel(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			_ = unix.Listen(int(fd), backlog)
		})
	}
}

// listener accepts connections within the limits of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for the next client that there is room for.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.server.meters.accepted.Inc()
		if !l.server.makeRoom() {
			l.server.meters.refused.Inc()
			l.server.log.Warn("Refused a client: there is no connection that could be closed for it.", zap.Int("connections", l.server.cfg.MaxConnections))
			_ = conn.Close()
			continue
		}
		c, err := newConn(conn, l.server)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return c, nil
	}
}
