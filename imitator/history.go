package imitator

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/identifier"
)

// Headers that stand-ins read and record.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderOrganisation   = "X-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
)

// Ending says how a run ended.
type Ending string

// The endings of a run.
const (
	Running   Ending = "Running"
	Answered  Ending = "Answered"
	Cancelled Ending = "Cancelled"
	Crashed   Ending = "Crashed"
)

// Run is one execution of a request by a stand-in.
type Run struct {
	RequestID      identifier.RequestID
	AttemptID      identifier.AttemptID
	Organisation   identifier.Organisation
	IdempotencyKey identifier.IdempotencyKey
	Path           string
	Model          identifier.Model
	Version        identifier.WeightVersion
	Adapter        identifier.Adapter
	Started        time.Time
	Ended          time.Time
	Ending         Ending
}

// History records every run of one stand-in, through its crashes.
type History struct {
	mu    sync.Mutex
	clock clockwork.Clock
	runs  []Run
	byKey map[identifier.IdempotencyKey]int
}

// NewHistory returns an empty history.
func NewHistory(clock clockwork.Clock) *History {
	return &History{clock: clock, byKey: make(map[identifier.IdempotencyKey]int)}
}

// Start records that r starts to run and returns the index of the run.
func (h *History) Start(r *http.Request, served Served) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := Run{
		RequestID:      identifier.RequestID(r.Header.Get(HeaderRequestID)),
		AttemptID:      identifier.AttemptID(r.Header.Get(HeaderAttemptID)),
		Organisation:   identifier.Organisation(r.Header.Get(HeaderOrganisation)),
		IdempotencyKey: identifier.IdempotencyKey(r.Header.Get(HeaderIdempotencyKey)),
		Path:           r.URL.Path,
		Model:          served.Model,
		Version:        served.Version,
		Adapter:        served.Adapter,
		Started:        h.clock.Now(),
		Ending:         Running,
	}
	h.runs = append(h.runs, run)
	if run.IdempotencyKey != "" {
		h.byKey[run.IdempotencyKey]++
	}
	return len(h.runs) - 1
}

// End records how the run ended. The first ending counts.
func (h *History) End(index int, ending Ending) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := &h.runs[index]
	if run.Ending != Running {
		return
	}
	run.Ending = ending
	run.Ended = h.clock.Now()
}

// RunsOf returns how often the key ran.
func (h *History) RunsOf(key identifier.IdempotencyKey) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byKey[key]
}

// Runs returns every run in the order of its start.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run{}, h.runs...)
}

// ServeHTTP answers with the runs as JSON.
func (h *History) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.Runs())
}
