package router

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
)

// Effect is an output of the reducer, which the forwarder carries out.
type Effect interface{ isEffect() }

// Target is the agent that an attempt is sent to.
type Target struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Address     netip.AddrPort
}

// Claim sends a claim to the control plane. ClaimAnswered must follow.
type Claim struct {
	Request identifier.RequestID
	Claim   ClaimRequest
}

// Settle sends the settlement to the control plane. No event follows.
type Settle struct {
	Settlement Settlement
}

// StartAttempt hands the request over to an agent.
type StartAttempt struct {
	Request  identifier.RequestID
	Attempt  identifier.AttemptID
	Target   Target
	Token    identifier.FencingToken
	Timeout  time.Duration
	Priority Priority
	Weight   float64
	Alone    bool
}

// CancelAttempt gives up the attempt and closes its stream. Stop says that the
// agent must be told, too.
type CancelAttempt struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Target  Target
	Stop    bool
}

// AskAttempt closes the attempt's stream and asks about the attempt on a new one.
// Holder is the request that the attempt belongs to at the agent. Fresh says that
// the connection went silent and must be replaced first.
type AskAttempt struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Holder  identifier.RequestID
	Target  Target
	Fresh   bool
}

// PassOn starts passing the attempt's response on to the caller. It is emitted for
// at most one attempt of a request.
type PassOn struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
}

// Answer ends the request. After PassOn, Completed and Failed end the response that
// is being passed on, and any other outcome aborts it.
type Answer struct {
	Request    identifier.RequestID
	Outcome    Outcome
	Cause      Cause
	RetryAfter time.Duration
	// Stored is set when the stored answer of an earlier request with the same key
	// is given.
	Stored *StoredAnswer
	// Passed says that the response of an attempt was passed on, at least in part.
	Passed bool
}

// Drained says that no request is left after Draining.
type Drained struct{}

func (Claim) isEffect()         {}
func (Settle) isEffect()        {}
func (StartAttempt) isEffect()  {}
func (CancelAttempt) isEffect() {}
func (AskAttempt) isEffect()    {}
func (PassOn) isEffect()        {}
func (Answer) isEffect()        {}
func (Drained) isEffect()       {}
