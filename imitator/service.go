package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"celeryvalve/identifier"
	"celeryvalve/repeater"
)

// ServiceConfig sets the delays of a plain service.
type ServiceConfig struct {
	// Delay is the time that each request takes.
	Delay time.Duration
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// Concurrency is how many requests run together.
	Concurrency int
	// Name starts every booking number, so that the one who booked is known.
	Name string
}

// Booking is the answer of POST /slots.
type Booking struct {
	Number         string
	IdempotencyKey identifier.IdempotencyKey
	Runs           int
	Body           string
}

// Record is the answer of GET /records/....
type Record struct {
	Path string
	By   string
}

// Service is a stand-in of a plain service, which is not idempotent: each run of
// POST /slots books one more slot, whatever the key.
type Service struct {
	*Process
	cfg   ServiceConfig
	batch *batch

	mu       sync.Mutex
	bookings int
	previous []byte // answer to the request before, for crossed answers
}

// NewService returns a service without bookings.
func NewService(cfg ServiceConfig, process *Process) *Service {
	return &Service{
		Process: process,
		cfg:     cfg,
		batch:   newBatch(cfg.Concurrency, cfg.ReportLag, process.clock),
	}
}

// ServiceState is the answer of GET /state.
type ServiceState struct {
	Ready bool
	Load  Load
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	s.route(router)
	router.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, ServiceState{Ready: true, Load: s.batch.report()})
	}).Methods(http.MethodGet)
	router.HandleFunc("/slots", s.handle(s.book)).Methods(http.MethodPost)
	router.PathPrefix("/records/").HandlerFunc(s.handle(s.lookUp)).Methods(http.MethodGet)
	router.PathPrefix("/echo").HandlerFunc(s.handle(echo))
	return router
}

// handle runs work as one recorded request, with the misbehaviour in force.
func (s *Service) handle(work func(r *http.Request, body []byte) []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m := s.sw.Get()
		body, err := readBody(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if s.batch.enter(r.Context(), 0) != nil {
			return
		}
		defer s.batch.leave()
		run := s.history.Start(r, Served{})
		defer s.finish(r, run)
		if matches(body, m.CrashOn) {
			s.die(run)
		}
		answer := work(r, body)
		pause := time.Duration(float64(s.cfg.Delay)*m.slow()) + time.Duration(m.Late)
		if repeater.Sleep(r.Context(), s.clock, pause) != nil || s.sw.awaitRelease(r.Context()) != nil {
			return
		}
		s.answer(w, r, m, body, answer)
	}
}

// answer writes the answer, as the misbehaviour has it.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, m Misbehaviour, body, answer []byte) {
	answer = s.cross(m, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	stall := m.StallAll || matches(body, m.StallOn)
	if !stall && !m.Short {
		_, _ = w.Write(answer)
		return
	}
	_, _ = w.Write(answer[:len(answer)/2])
	if stall {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

func (s *Service) cross(m Misbehaviour, answer []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.previous
	s.previous = answer
	if m.Crossed && before != nil {
		return before
	}
	return answer
}

func (s *Service) book(r *http.Request, body []byte) []byte {
	key := identifier.IdempotencyKey(r.Header.Get(HeaderIdempotencyKey))
	s.mu.Lock()
	s.bookings++
	number := fmt.Sprintf("%s-%d", s.cfg.Name, s.bookings)
	s.mu.Unlock()
	return jsonLine(Booking{Number: number, IdempotencyKey: key, Runs: s.history.RunsOf(key), Body: string(body)})
}

func (s *Service) lookUp(r *http.Request, _ []byte) []byte {
	return jsonLine(Record{Path: r.URL.Path, By: s.cfg.Name})
}

func echo(_ *http.Request, body []byte) []byte {
	return body
}

func jsonLine(v any) []byte {
	data, _ := json.Marshal(v)
	return append(data, '\n')
}
