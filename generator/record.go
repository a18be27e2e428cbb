package generator

import (
	"net/http"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// The headers of the system under test.
const (
	// HeaderOutcome names the outcome of the request on its answer.
	HeaderOutcome = "Celeryvalve-Outcome"
	// HeaderRequest is the system's own id of the request, on its answer.
	HeaderRequest = "Celeryvalve-Request"
	// HeaderDeadline tells the system how long the caller waits.
	HeaderDeadline = "Celeryvalve-Deadline"
)

// Outcome is what the system says of a request.
type Outcome string

// The outcomes of a request.
const (
	Completed Outcome = "Completed"
	NotRun    Outcome = "NotRun"
	Failed    Outcome = "Failed"
	Unknown   Outcome = "Unknown"
	// Unnamed is an answer without an outcome, one that broke off, or none at all.
	Unnamed Outcome = "Unnamed"
)

// Record is what a caller saw of one sending of a request.
type Record struct {
	RequestID      identifier.RequestID
	IdempotencyKey identifier.IdempotencyKey
	Class          ClassName
	Organisation   identifier.Organisation
	Resend         bool
	Due            time.Time
	Status         int
	Outcome        Outcome
	// Fault says why the answer is not whole or not the caller's own; empty if it is.
	Fault string
	// Digest is the digest of a plain answer's body.
	Digest     identifier.Digest
	Tokens     int
	Latency    imitator.Duration
	FirstToken imitator.Duration
	// Between are the times between tokens.
	Between []imitator.Duration
}

// Good reports whether the caller got the whole answer that it asked for.
func (r Record) Good() bool {
	return r.Status >= 200 && r.Status < 300 && r.Fault == ""
}

func (r *Record) setOutcome(h http.Header) {
	if outcome := h.Get(HeaderOutcome); outcome != "" {
		r.Outcome = Outcome(outcome)
	}
}
