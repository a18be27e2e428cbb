package router

import (
	"time"

	"celeryvalve/identifier"
)

// Class says whether a request may run more than once.
type Class string

// The classes of requests.
const (
	Idempotent    Class = "Idempotent"
	NonIdempotent Class = "NonIdempotent"
)

// Outcome says whether a request ran, as far as is known when it is answered.
type Outcome string

// The outcomes.
const (
	// Completed: it ran and the answer is complete.
	Completed Outcome = "Completed"
	// NotRun: it provably did not run and will not.
	NotRun Outcome = "NotRun"
	// Failed: it ran, and the upstream answered with an error.
	Failed Outcome = "Failed"
	// Unknown: it may have run.
	Unknown Outcome = "Unknown"
)

// Cause says why a request has its outcome.
type Cause string

// The causes of outcomes other than Completed.
const (
	UnknownService    Cause = "UnknownService"
	Overloaded        Cause = "Overloaded"
	DeadlineExceeded  Cause = "DeadlineExceeded"
	NoUpstream        Cause = "NoUpstream"
	Quarantined       Cause = "Quarantined"
	KeyReused         Cause = "KeyReused"
	ClaimsUnavailable Cause = "ClaimsUnavailable"
	UpstreamLost      Cause = "UpstreamLost"
	UpstreamError     Cause = "UpstreamError"
	CallerLeft        Cause = "CallerLeft"
	HolderLost        Cause = "HolderLost"
	BrokenAnswer      Cause = "BrokenAnswer"
	DrainTimeout      Cause = "DrainTimeout"
)

// Priority orders requests inside an engine. Higher runs first.
type Priority int

// HeaderField is one line of an HTTP header.
type HeaderField struct {
	Name  string
	Value string
}

// StoredAnswer is the outcome of a non-idempotent request as the control plane
// stores it.
type StoredAnswer struct {
	Outcome  Outcome
	Status   int
	Header   []HeaderField
	Body     []byte
	Trailer  []HeaderField
	Digest   identifier.Digest
	TooLarge bool // the body was larger than the control plane stores
}

// LoadReport is the load of an upstream. Its agent sends it with most messages of an
// attempt.
type LoadReport struct {
	Running   int
	Queued    int
	Limit     int
	QueueRoom int
	// Reported says that the upstream itself reports its load.
	Reported bool
	// Latency is the recent time to the first byte at the upstream.
	Latency time.Duration
	Leaving bool
}
