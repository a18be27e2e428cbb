package router

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
)

// Effect is an output of the reducer, for the shell to carry out.
type Effect interface{ isEffect() }

// Target is the agent that an attempt is for.
type Target struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Address     netip.AddrPort
}

// Claim asks control. ClaimAnswered must follow.
type Claim struct {
	Request identifier.RequestID
	Claim   ClaimRequest
}

// Settle sends the settlement to control. Nothing follows.
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

// CancelAttempt gives up the attempt. The shell drops its stream. Stop says that
// the agent must be told, too.
type CancelAttempt struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Target  Target
	Stop    bool
}

// AskAttempt drops the attempt's stream and asks after it on a new one. Holder
// is the request that the attempt belongs to at the agent. Fresh says that the
// connection went silent and must be replaced first.
type AskAttempt struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Holder  identifier.RequestID
	Target  Target
	Fresh   bool
}

// PassOn lets the attempt's answer go to the caller. It is given for one attempt
// of a request at most.
type PassOn struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
}

// Answer ends the request. After PassOn, Completed and Failed end the answer
// that is passed on, and any other outcome breaks it off.
type Answer struct {
	Request    identifier.RequestID
	Outcome    Outcome
	Cause      Cause
	RetryAfter time.Duration
	// Stored is set when the answer of an earlier request with the key is given.
	Stored *StoredAnswer
	// Passed says that bytes of an attempt's answer were let through.
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
