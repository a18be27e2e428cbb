package router

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// RequestArrived says that a caller's request was read whole.
type RequestArrived struct {
	ID           identifier.RequestID
	Organisation identifier.Organisation
	Service      identifier.Service
	Class        Class
	Key          identifier.IdempotencyKey
	BodyDigest   identifier.Digest
	Fingerprint  Fingerprint
	Prefixes     []PrefixHash
	Size         identifier.ByteCount
	Deadline     time.Time
	Random       uint64
}

// UpstreamView is what the members list says of one upstream.
type UpstreamView struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Address          netip.AddrPort
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	Service          identifier.Service
	Model            identifier.Model
	Version          identifier.WeightVersion
	Adapters         []identifier.Adapter
	Ready            bool
	Leaving          bool
	ReportsLoad      bool
}

// UpstreamsChanged carries the whole list of upstreams.
type UpstreamsChanged struct {
	Upstreams []UpstreamView
}

// ServicePolicy is how requests of one service are treated.
type ServicePolicy struct {
	Service identifier.Service
	// Model and Adapters are what an upstream must hold, and Version what it should
	// hold: another one serves where none with it has room. Empty ones are not asked for.
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters []identifier.Adapter
	// MaxQueued bounds the requests that wait at this entry.
	MaxQueued int
	// RetryRatio is the number of retries allowed per first send.
	RetryRatio float64
	// ProgressTimeout is the time without an answer's first byte after which an
	// idempotent attempt is tried elsewhere. Zero means a multiple of what is usual.
	ProgressTimeout time.Duration
}

// OrganisationPolicy is the share of one organisation.
type OrganisationPolicy struct {
	Organisation identifier.Organisation
	Weight       float64
	Priority     Priority
}

// Policy is the part of the configuration that requests depend on.
type Policy struct {
	Services      []ServicePolicy
	Organisations []OrganisationPolicy
}

// PolicyChanged carries the whole policy.
type PolicyChanged struct {
	Policy Policy
}

// QuarantineChanged carries the whole lists of fingerprints that crashed an
// upstream once and run alone, and of those that are refused.
type QuarantineChanged struct {
	Suspects []Fingerprint
	Refused  []Fingerprint
}

// ClaimAnswered carries control's answer for the attempt of a request.
type ClaimAnswered struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Answer  ClaimAnswer
}

// AttemptWasAccepted says that the agent has the attempt.
type AttemptWasAccepted struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Load    LoadReport
}

// AttemptWasRefused says that the agent confirmed that the attempt never starts.
type AttemptWasRefused struct {
	Request    identifier.RequestID
	Attempt    identifier.AttemptID
	Reason     RefuseReason
	RetryAfter time.Duration
	Load       LoadReport
}

// AttemptAnswering says that the head of the upstream's answer came.
type AttemptAnswering struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Status  int
}

// AttemptProgressed says that the link of the attempt is alive. Load is set
// when a report came with it.
type AttemptProgressed struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Load    *LoadReport
}

// AttemptEnded says that the whole answer of the attempt was taken over.
type AttemptEnded struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Status  int
	Load    LoadReport
	Cache   CacheReport
}

// BreakKind says how an attempt's link or answer broke.
type BreakKind string

// The kinds of breaks.
const (
	// NotHandedOver: the end mark of the body was never sent.
	NotHandedOver BreakKind = "NotHandedOver"
	// LinkLost: the stream broke after the body's end mark was sent.
	LinkLost BreakKind = "LinkLost"
	// AskFailed: the agent could not be asked.
	AskFailed BreakKind = "AskFailed"
	// Gone: the agent said that the answer can't be given.
	Gone BreakKind = "Gone"
	// Damaged: the answer was short, crossed or its digest differs.
	Damaged BreakKind = "Damaged"
)

// AttemptBroke says that an attempt's link or answer broke. Reason is set with Gone.
type AttemptBroke struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Kind    BreakKind
	Reason  GoneReason
}

// CallerGone says that the caller no longer waits.
type CallerGone struct {
	Request identifier.RequestID
}

// Draining says that this entry is shutting down. Drained follows when the last
// request is answered.
type Draining struct{}

// Ticked is sent at short intervals.
type Ticked struct{}

func (RequestArrived) isEvent()     {}
func (UpstreamsChanged) isEvent()   {}
func (PolicyChanged) isEvent()      {}
func (QuarantineChanged) isEvent()  {}
func (ClaimAnswered) isEvent()      {}
func (AttemptWasAccepted) isEvent() {}
func (AttemptWasRefused) isEvent()  {}
func (AttemptAnswering) isEvent()   {}
func (AttemptProgressed) isEvent()  {}
func (AttemptEnded) isEvent()       {}
func (AttemptBroke) isEvent()       {}
func (CallerGone) isEvent()         {}
func (Draining) isEvent()           {}
func (Ticked) isEvent()             {}
