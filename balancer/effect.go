package balancer

import (
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/indexer"
	"celeryvalve/quarantiner"
)

// Effect is what the relayer does next for the request of the event.
type Effect interface{ isEffect() }

// NoEffect means that there is nothing to do.
type NoEffect struct{}

// Send starts an attempt. AttemptConnected follows before the request is sent, AttemptStalled while
// its upstream is silent, and ResponseCompleted or AttemptFailed once it is over, unless another
// attempt is chosen or the request ends.
type Send struct {
	Request identifier.RequestID
	Attempt int // from 1
	Target  UpstreamView
	// FirstByteTimeout is the silence of the upstream after which AttemptStalled is to follow,
	// up to the first event of a stream or the end of another response. It is 0 for none.
	FirstByteTimeout time.Duration
	// BeginBy is when AttemptUnbegun is to follow unless the response has begun by then, or
	// zero.
	BeginBy time.Time
	// ExpectedRelease is the release that the upstream must hold, or 0 for any.
	ExpectedRelease declarer.ReleaseNumber
	// Urgency orders the request among others that wait at the upstream; 0 goes
	// first.
	Urgency int
	// Forecast is the expected time to the first byte, for the log.
	Forecast time.Duration
	// Load is how many requests the choice assumed at the upstream, and LoadAge is
	// the age of the report behind that number.
	Load    int
	LoadAge time.Duration
	// Pace is Load.Pace of the last answer before the choice, or 0 if none said it.
	Pace float64
	// Slowness is how long the upstream was assumed to take in proportion to the declared
	// engine.
	Slowness float64
	// LimitStamp is the stamp of the upstream's limit, or 0 if none was known to be in
	// force.
	LimitStamp uint64
	// Cold means that the upstream is cold, or may be.
	Cold bool
	// HeldTokens is how many tokens of the prompt's beginning the upstream holds, as far as
	// known, and IgnoredParts why parts of the prompt were not compared.
	HeldTokens   int
	IgnoredParts indexer.Fault
	// Admission is the decision that began the request.
	Admission Admission
}

// Postpone means that the attempt goes on, and that AttemptUnbegun is to follow at BeginBy unless
// the response has begun by then.
type Postpone struct {
	Request identifier.RequestID
	BeginBy time.Time
}

// Await means that the attempt is over, and that another one in progress may still answer the
// request. The caller gets a response that was received only if none does.
type Await struct{ Request identifier.RequestID }

// Refuse answers that the request has not run and never will.
type Refuse struct {
	Request    identifier.RequestID
	Reason     Reason
	RetryAfter time.Duration
	// Suspect is the fingerprint of the request or of the part of its prompt that is
	// refused. It is set only with Quarantined and Probation.
	Suspect quarantiner.Fingerprint
	// Forecast is the best forecast of the time to the first byte. It is set only
	// with Overloaded.
	Forecast time.Duration
	// Admission is the decision about the request. It is zero if none was made.
	Admission Admission
}

// Fail answers that the request may have run and that there is no complete
// response.
type Fail struct {
	Request identifier.RequestID
	Reason  Reason
}

// Reason says why a request is refused or failed.
type Reason string

// The reasons for Refuse and Fail.
const (
	UnknownService Reason = "UnknownService"
	NoUpstream     Reason = "NoUpstream"
	// NoHome: the service has upstreams, but none in a region in which the request may be
	// served.
	NoHome Reason = "NoHome"
	// Limited: upstreams are ready, and the limits of all of them are used up.
	Limited Reason = "Limited"
	// Cold: upstreams are ready, and this entry's share of what cold ones bear is used up.
	Cold Reason = "Cold"
	// Resting: the upstreams that could run the request have asked for rest.
	Resting Reason = "Resting"
	// Evacuated: all upstreams that could run the request are in evacuated zones.
	Evacuated       Reason = "Evacuated"
	Overloaded      Reason = "Overloaded"
	DeadlineTooNear Reason = "DeadlineTooNear"
	NoAttemptLeft   Reason = "NoAttemptLeft"
	NoBudget        Reason = "NoBudget"
	// Quarantined: requests with the same fingerprint, or with the same part in their
	// prompts, crash upstreams.
	Quarantined Reason = "Quarantined"
	// Probation: upstreams have crashed while requests with the same fingerprint were in
	// flight, and another entry or another request finds out whether they were the cause.
	Probation Reason = "Probation"
	// Draining: the entry may end before the request does.
	Draining         Reason = "Draining"
	MayHaveRun       Reason = "MayHaveRun"
	DeadlineExceeded Reason = "TimeEnded"
)

func (NoEffect) isEffect() {}
func (Send) isEffect()     {}
func (Await) isEffect()    {}
func (Postpone) isEffect() {}
func (Refuse) isEffect()   {}
func (Fail) isEffect()     {}
