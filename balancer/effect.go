package balancer

import (
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Effect is what the shell does next for the request of the event.
type Effect interface{ isEffect() }

// Go says that there is nothing else to do.
type Go struct{}

// Send starts an attempt. Answering, Ended or Broke must follow.
type Send struct {
	Request identifier.RequestID
	Attempt int // from 1
	Target  UpstreamView
	// FirstByteWithin is after how long without a byte the attempt is Silent.
	FirstByteWithin time.Duration
	// Expect is the release that the upstream must hold, or 0 for any.
	Expect declarer.ReleaseNumber
	// Urgency orders the request among others that wait at the upstream; 0 is first.
	Urgency int
	// Forecast is the time to the first byte that is expected, for the log.
	Forecast time.Duration
	// Load is the load of the upstream that the choice assumed, and how old the
	// report behind it is.
	Load    int
	LoadAge time.Duration
}

// Refuse answers that the request has not run and never will.
type Refuse struct {
	Request    identifier.RequestID
	Reason     Reason
	RetryAfter time.Duration
	// Forecast is the best time to the first byte that was found, or 0.
	Forecast time.Duration
}

// Fail answers that the request may have run and has no answer.
type Fail struct {
	Request identifier.RequestID
	Reason  Reason
}

// Reason says why a request is refused or failed.
type Reason string

// The reasons.
const (
	UnknownService  Reason = "UnknownService"
	NoUpstream      Reason = "NoUpstream"
	Overloaded      Reason = "Overloaded"
	DeadlineTooNear Reason = "DeadlineTooNear"
	NoAttemptLeft   Reason = "NoAttemptLeft"
	NoBudget        Reason = "NoBudget"
	MayHaveRun      Reason = "MayHaveRun"
	TimeEnded       Reason = "TimeEnded"
)

func (Go) isEffect()     {}
func (Send) isEffect()   {}
func (Refuse) isEffect() {}
func (Fail) isEffect()   {}
