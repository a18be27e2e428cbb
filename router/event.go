package router

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// RequestArrived brings a caller's request that has been read completely.
type RequestArrived struct {
	ID           identifier.RequestID
	Organisation identifier.Organisation
	Service      identifier.Service
	Class        Class
	Key          identifier.IdempotencyKey
	BodyDigest   identifier.Digest
	Fingerprint  quarantiner.Fingerprint
	Prefixes     []PrefixHash
	Size         identifier.ByteCount
	Deadline     time.Time
	Random       uint64
}

// UpstreamView describes one upstream as the membership list has it.
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

// UpstreamsChanged carries the complete list of upstreams.
type UpstreamsChanged struct {
	Upstreams []UpstreamView
}

// ServicePolicy sets how requests for one service are queued, routed and retried.
type ServicePolicy struct {
	Service identifier.Service
	// Model and Adapters are what an upstream must hold, and Version what it should
	// hold: an upstream with another version is used only if none with this version
	// has room. Empty fields are not checked.
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters []identifier.Adapter
	// MaxQueued bounds the requests that wait at this entry.
	MaxQueued int
	// RetryRatio is the number of retries allowed per first send.
	RetryRatio float64
	// ProgressTimeout is the time without a response's first byte after which an
	// idempotent attempt is tried elsewhere. Zero means a multiple of the service's
	// mean time to the first byte.
	ProgressTimeout time.Duration
}

// OrganisationPolicy sets the share and the priority of one organisation.
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

// PolicyChanged carries the complete policy.
type PolicyChanged struct {
	Policy Policy
}

// QuarantineChanged carries the complete lists of fingerprints that were in flight
// when an upstream crashed and therefore run alone, and of those that are refused.
type QuarantineChanged struct {
	Suspects []quarantiner.Fingerprint
	Refused  []quarantiner.Fingerprint
}

// ClaimAnswered carries the control plane's answer to the claim of an attempt.
type ClaimAnswered struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Answer  ClaimAnswer
}

// AttemptWasAccepted says that the agent has queued or started the attempt.
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

// AttemptAnswering says that the head of the upstream's response arrived.
type AttemptAnswering struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Status  int
}

// AttemptProgressed says that the stream of the attempt is alive. Load is set when
// a load report came with it.
type AttemptProgressed struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Load    *LoadReport
}

// AttemptEnded says that the response of the attempt was received completely.
type AttemptEnded struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Status  int
	Load    LoadReport
	Cache   CacheReport
}

// BreakKind says how an attempt's stream or response failed.
type BreakKind string

// The kinds of breaks.
const (
	// NotHandedOver: the end mark of the body was never sent.
	NotHandedOver BreakKind = "NotHandedOver"
	// LinkLost: the stream broke after the body's end mark was sent.
	LinkLost BreakKind = "LinkLost"
	// AskFailed: the agent could not be asked about the attempt.
	AskFailed BreakKind = "AskFailed"
	// Gone: the agent reported that it can't give the response.
	Gone BreakKind = "Gone"
	// Damaged: the response was too short, was mixed up with another one or doesn't
	// match its digest.
	Damaged BreakKind = "Damaged"
)

// AttemptBroke says that an attempt's stream or response failed. Reason is set if
// Kind is Gone.
type AttemptBroke struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Kind    BreakKind
	Reason  GoneReason
}

// CallerGone says that the caller has stopped waiting.
type CallerGone struct {
	Request identifier.RequestID
}

// Draining says that this entry is shutting down. Drained follows when the last
// request is answered.
type Draining struct{}

// DrainEnded says that the requests that are left must be answered now.
type DrainEnded struct{}

// Ticked makes the reducer check its timeouts. It is sent at short intervals.
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
func (DrainEnded) isEvent()         {}
func (Ticked) isEvent()             {}
