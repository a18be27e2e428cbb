package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/acceptor"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/controller"
	"celeryvalve/coordinator"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/publisher"
	"celeryvalve/reader"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 5 * time.Minute
	requestTimeout = 8 * time.Second
	// answerTimeout is longer than a request takes, its body and its answer.
	answerTimeout = 30 * time.Second
	// headerBytes includes the handshake of TLS, in which a client sends its certificates.
	headerBytes = 64 << 10
	// maxConnections is how many operators may be connected, and maxHeads bounds the memory of their
	// heads.
	maxConnections                      = 64
	maxHeads       identifier.ByteCount = 16 << 20
	// gatherTimeout limits the calls to other processes for one view.
	gatherTimeout = time.Second
	maxBody       = 1 << 20 // bytes
	// defaultHistory is how many patches the history lists without Limit.
	defaultHistory = 50
)

// Submitter submits encoded commands to the leader and returns their results.
type Submitter interface {
	Submit(ctx context.Context, data []byte) (any, error)
}

// Replica is the consensus replica of this process. Barrier, AdmitMember and
// RemoveMember work on the leader only.
type Replica interface {
	Barrier(ctx context.Context) error
	Leader() (netip.AddrPort, bool)
	Status() coordinator.Status
	AdmitMember(ctx context.Context, name string) error
	RemoveMember(ctx context.Context, name string) error
}

// Caller sends one request to an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// Dependencies are the parts of the control replica that the API uses.
type Dependencies struct {
	State     *controller.State
	Replica   Replica
	Submitter Submitter
	Publisher *publisher.Publisher
	Caller    Caller
	Clock     clockwork.Clock
	Metrics   *metrics.Set
}

// Server serves the operators' API of one control replica.
type Server struct {
	listen netip.AddrPort
	source *certifier.Source
	deps   Dependencies
	logger *zap.Logger
	server *acceptor.Server
	bound  net.Addr
}

// New returns a server that is not started.
func New(listen netip.AddrPort, source *certifier.Source, deps Dependencies, logger *zap.Logger) *Server {
	return &Server{listen: listen, source: source, deps: deps, logger: logger.Named("administrator")}
}

// Start binds the address and serves in the background. It returns Unavailable if
// the address can't be bound.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on TCP %s", s.listen),
			"choose an address of this machine that no other process uses")
	}
	s.bound = listener.Addr()
	limits := acceptor.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.server = acceptor.New(acceptor.Config{
		Name:           "operator",
		MaxConnections: maxConnections,
		Limits:         func() acceptor.Limits { return limits },
		AnswerTimeout:  answerTimeout,
		Memory:         reader.NewBudget(maxHeads),
		Clock:          s.deps.Clock,
		Metrics:        s.deps.Metrics,
		Log:            s.logger,
	}, acceptor.AnswerPromptly(s.routes()))
	go func() {
		if err := s.server.ServeTLS(listener, s.source.ServerConfig("http/1.1")); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("Stopped serving the operators' API.", zap.Error(err))
		}
	}()
	return nil
}

// Stop closes the listener and waits for the requests in progress, until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Shutdown(ctx)
}

// Address returns the bound address, or nil before Start.
func (s *Server) Address() net.Addr {
	return s.bound
}

// ServeStatus answers a StatusRequest of another control replica with the
// subscribers of this one. Peers without the role Control get no answer.
func (s *Server) ServeStatus(_ context.Context, stream *connector.Stream, _ any) {
	if !stream.Peer().Has(certifier.Control) {
		return
	}
	// The error is ignored: the caller treats a lost answer as no answer and names
	// this replica in Unheard.
	_ = stream.Send(&StatusAnswer{Subscribers: s.deps.Publisher.Subscribers()})
}

// handler answers one request of an operator.
type handler func(ctx context.Context, operator identifier.Operator, r *http.Request) (any, error)

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	add := func(method, path string, barrier bool, h handler) {
		r.HandleFunc(path, s.handle(barrier, h)).Methods(method)
	}
	add(http.MethodGet, "/v1/version", true, s.version)
	add(http.MethodGet, "/v1/configuration", true, s.configuration)
	add(http.MethodGet, "/v1/history", true, s.history)
	add(http.MethodGet, "/v1/diff", true, s.diff)
	add(http.MethodPost, "/v1/patches", false, s.submitPatch)
	add(http.MethodGet, "/v1/services", true, s.services)
	add(http.MethodGet, "/v1/upstreams", true, s.upstreams)
	add(http.MethodGet, "/v1/transfers", true, s.transfers)
	add(http.MethodGet, "/v1/report", true, s.report)
	add(http.MethodGet, "/v1/quarantine", true, s.quarantine)
	add(http.MethodPost, "/v1/quarantine", false, s.clearQuarantine)
	add(http.MethodGet, "/v1/replicas", true, s.replicas)
	add(http.MethodPost, "/v1/replicas/{Name}", true, s.admitReplica)
	add(http.MethodDelete, "/v1/replicas/{Name}", true, s.removeReplica)
	return r
}

// handle adapts h to HTTP: it checks the caller's role, waits for the barrier if
// asked to, and writes the answer or the error in JSON.
func (s *Server) handle(barrier bool, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		if r.Body != http.NoBody {
			limit := reader.NewLimit(w)
			defer limit.End()
			defer s.deps.Clock.AfterFunc(requestTimeout, limit.Expire).Stop()
		}
		operator, err := operatorOf(r)
		if err == nil && barrier {
			err = s.deps.Replica.Barrier(ctx)
		}
		var answer any
		if err == nil {
			answer, err = h(ctx, operator, r)
		}
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			s.logger.Debug("Can't write the answer to an operator.", zap.Error(err))
		}
	}
}

// writeError writes err as a Problem with the HTTP status of its kind.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	p := Problem{Kind: explainer.KindOf(err), Problem: err.Error()}
	var explained *explainer.Error
	if errors.As(err, &explained) {
		p.Problem, p.Remedy = explained.Problem, explained.Remedy
	}
	status, ok := httpStatuses[p.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	s.logger.Info("Refused an operator's request.", zap.String("path", r.URL.Path), zap.Error(err))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}

// operatorOf returns the name in the client's certificate, or Denied if the
// certificate does not have the role Operator.
func operatorOf(r *http.Request) (identifier.Operator, error) {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		cert := r.TLS.PeerCertificates[0]
		for _, role := range certifier.RolesOf(cert) {
			if role == certifier.Operator {
				return identifier.Operator(cert.Subject.CommonName), nil
			}
		}
	}
	return "", explainer.New(explainer.Denied, "the certificate does not have the role Operator",
		"use a key that was issued with celeryvalve keys issue --role Operator")
}

// uintParameter returns the query parameter as a whole number, or the fallback if
// the parameter is absent.
func uintParameter(r *http.Request, name string, fallback identifier.ConfigurationVersion) (identifier.ConfigurationVersion, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, explainer.New(explainer.InvalidInput, fmt.Sprintf("parameter %s: %q is not a whole number", name, text), "write a whole number of 0 or more")
	}
	return identifier.ConfigurationVersion(n), nil
}
