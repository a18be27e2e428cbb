package exposer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/acceptor"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/reader"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 5 * time.Minute
	// answerTimeout is longer than a profile takes.
	answerTimeout = time.Minute
	headerBytes   = 16 << 10
	// maxConnections is how many clients may be connected, and maxHeads bounds the memory of their
	// heads.
	maxConnections                      = 32
	maxHeads       identifier.ByteCount = 2 << 20
)

// ReadinessCheck is a readiness check. It returns nil, or an error that says why the process
// is not ready.
type ReadinessCheck func() error

// Exposer is the HTTP server for monitoring the process.
type Exposer struct {
	listen       netip.AddrPort
	set          *metrics.Set
	clock        clockwork.Clock
	logger       *zap.Logger
	server       *acceptor.Server
	boundAddress net.Addr

	mu              sync.Mutex
	readinessChecks map[string]ReadinessCheck
	mounts          map[string]http.Handler
}

// New returns an exposer that serves the metrics of set and is not started.
func New(listen netip.AddrPort, set *metrics.Set, clock clockwork.Clock, logger *zap.Logger) *Exposer {
	return &Exposer{
		listen:          listen,
		set:             set,
		clock:           clock,
		logger:          logger.Named("exposer"),
		readinessChecks: make(map[string]ReadinessCheck),
		mounts:          make(map[string]http.Handler),
	}
}

// AddReadinessCheck adds a condition that must be met for the process to be ready. The name precedes
// its error in the answer of /readyz.
func (e *Exposer) AddReadinessCheck(name string, condition ReadinessCheck) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readinessChecks[name] = condition
}

// Mount registers h for all paths that begin with prefix. Call it before Start.
func (e *Exposer) Mount(prefix string, h http.Handler) {
	e.mounts[prefix] = h
}

// Start binds the address and serves requests in the background. It returns an error of
// kind Unavailable if the address can't be bound.
func (e *Exposer) Start() error {
	listener, err := net.Listen("tcp", e.listen.String())
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on TCP %s", e.listen),
			"choose an address of this machine that no other process uses")
	}
	e.boundAddress = listener.Addr()
	limits := acceptor.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	e.server = acceptor.New(acceptor.Config{
		Name:           "metrics",
		MaxConnections: maxConnections,
		Limits:         func() acceptor.Limits { return limits },
		AnswerTimeout:  answerTimeout,
		Memory:         reader.NewBudget(maxHeads),
		Clock:          e.clock,
		Metrics:        e.set,
		Log:            e.logger,
	}, acceptor.AnswerPromptly(e.routes()))
	go func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("HTTP server for metrics and health stopped unexpectedly.", zap.Error(err))
		}
	}()
	return nil
}

// Stop stops the server after the requests in progress have ended, or when ctx ends.
func (e *Exposer) Stop(ctx context.Context) error {
	if e.server == nil {
		return nil
	}
	return e.server.Shutdown(ctx)
}

// Address returns the address that the exposer is bound to, or nil before Start.
func (e *Exposer) Address() net.Addr {
	return e.boundAddress
}

func (e *Exposer) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", e.serveMetrics).Methods(http.MethodGet)
	r.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.serveReadiness).Methods(http.MethodGet)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	for prefix, h := range e.mounts {
		r.PathPrefix(prefix).Handler(h)
	}
	return r
}

func (e *Exposer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (e *Exposer) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	failed := e.failedChecks()
	if len(failed) > 0 {
		http.Error(w, strings.Join(failed, "\n"), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (e *Exposer) failedChecks() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var failed []string
	for name, condition := range e.readinessChecks {
		if err := condition(); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", name, err))
		}
	}
	sort.Strings(failed)
	return failed
}
