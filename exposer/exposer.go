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
	"go.uber.org/zap"

	"celeryvalve/explainer"
)

const headerTimeout = 5 * time.Second

// Condition reports why the process is not ready, or nil.
type Condition func() error

// Exposer is the HTTP server for those who watch the process.
type Exposer struct {
	listen netip.AddrPort
	set    *metrics.Set
	logger *zap.Logger
	server *http.Server
	bound  net.Addr

	mu         sync.Mutex
	conditions map[string]Condition
	mounts     map[string]http.Handler
}

// New returns an exposer of the metrics in set that is not started.
func New(listen netip.AddrPort, set *metrics.Set, logger *zap.Logger) *Exposer {
	return &Exposer{
		listen:     listen,
		set:        set,
		logger:     logger.Named("exposer"),
		conditions: make(map[string]Condition),
		mounts:     make(map[string]http.Handler),
	}
}

// Require adds a condition of readiness.
func (e *Exposer) Require(name string, condition Condition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conditions[name] = condition
}

// Mount serves everything below the prefix by h. Call it before Start.
func (e *Exposer) Mount(prefix string, h http.Handler) {
	e.mounts[prefix] = h
}

// Start binds the address and serves.
func (e *Exposer) Start() error {
	listener, err := net.Listen("tcp", e.listen.String())
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on TCP %s", e.listen),
			"choose an address of this machine that no other process uses")
	}
	e.bound = listener.Addr()
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("Serving metrics ended.", zap.Error(err))
		}
	}()
	return nil
}

// Stop ends the server.
func (e *Exposer) Stop(ctx context.Context) error {
	if e.server == nil {
		return nil
	}
	return e.server.Shutdown(ctx)
}

// Address returns the address that the exposer is bound to.
func (e *Exposer) Address() net.Addr {
	return e.bound
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
	missing := e.unmet()
	if len(missing) > 0 {
		http.Error(w, strings.Join(missing, "\n"), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (e *Exposer) unmet() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var missing []string
	for name, condition := range e.conditions {
		if err := condition(); err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", name, err))
		}
	}
	sort.Strings(missing)
	return missing
}
