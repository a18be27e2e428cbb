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

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/controller"
	"celeryvalve/coordinator"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/publisher"
)

const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 8 * time.Second
	gatherTimeout  = time.Second
	maxBody        = 1 << 20
	defaultHistory = 50
)

// Submitter brings commands to the leader.
type Submitter interface {
	Submit(ctx context.Context, data []byte) (any, error)
}

// Replica is this control replica.
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

// Dependencies are what the API is made of.
type Dependencies struct {
	State     *controller.State
	Replica   Replica
	Submitter Submitter
	Publisher *publisher.Publisher
	Caller    Caller
	Clock     clockwork.Clock
}

// Server serves the API.
type Server struct {
	listen netip.AddrPort
	source *certifier.Source
	deps   Dependencies
	logger *zap.Logger
	server *http.Server
	bound  net.Addr
}

// New returns a server that is not started.
func New(listen netip.AddrPort, source *certifier.Source, deps Dependencies, logger *zap.Logger) *Server {
	return &Server{listen: listen, source: source, deps: deps, logger: logger.Named("administrator")}
}

// Start binds the address and serves.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on TCP %s", s.listen),
			"choose an address of this machine that no other process uses")
	}
	s.bound = listener.Addr()
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		TLSConfig:         s.source.Server("http/1.1"),
		ErrorLog:          zap.NewStdLog(s.logger),
	}
	go func() {
		if err := s.server.ServeTLS(listener, "", ""); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("Serving operators ended.", zap.Error(err))
		}
	}()
	return nil
}

// Stop ends the server after the requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Shutdown(ctx)
}

// Address returns the address that the server is bound to.
func (s *Server) Address() net.Addr {
	return s.bound
}

// ServeStatus answers another replica that gathers its share.
func (s *Server) ServeStatus(_ context.Context, stream *connector.Stream, _ any) {
	if !stream.Peer().Has(certifier.Control) {
		return
	}
	// A replica that went away asks again.
	_ = stream.Send(&StatusAnswer{Subscribers: s.deps.Publisher.Subscribers()})
}

// view answers one request of an operator.
type view func(ctx context.Context, operator identifier.Operator, r *http.Request) (any, error)

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	add := func(method, path string, fresh bool, v view) {
		r.HandleFunc(path, s.handle(fresh, v)).Methods(method)
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

func (s *Server) handle(fresh bool, v view) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		operator, err := operatorOf(r)
		if err == nil && fresh {
			err = s.deps.Replica.Barrier(ctx)
		}
		var answer any
		if err == nil {
			answer, err = v(ctx, operator, r)
		}
		if err != nil {
			s.fail(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			s.logger.Debug("Can't answer an operator.", zap.Error(err))
		}
	}
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	p := Problem{Kind: explainer.KindOf(err), Problem: err.Error()}
	var known *explainer.Error
	if errors.As(err, &known) {
		p.Problem, p.Remedy = known.Problem, known.Remedy
	}
	status, ok := statuses[p.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	s.logger.Info("Refused an operator's request.", zap.String("path", r.URL.Path), zap.Error(err))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator that went away reads nothing.
	_ = json.NewEncoder(w).Encode(p)
}

func operatorOf(r *http.Request) (identifier.Operator, error) {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		cert := r.TLS.PeerCertificates[0]
		for _, role := range certifier.RolesOf(cert) {
			if role == certifier.Operator {
				return identifier.Operator(cert.Subject.CommonName), nil
			}
		}
	}
	return "", explainer.New(explainer.Denied, "the key is not an operator's",
		"use a key that was issued with celeryvalve keys issue --role Operator")
}

func versionParameter(r *http.Request, name string, absent identifier.ConfigurationVersion) (identifier.ConfigurationVersion, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, explainer.New(explainer.InvalidInput, fmt.Sprintf("%s %q is not a version", name, text), "write a whole number")
	}
	return identifier.ConfigurationVersion(n), nil
}
