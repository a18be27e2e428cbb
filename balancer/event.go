package balancer

import (
	"net/netip"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Request is what decides about one request of a caller.
type Request struct {
	ID           identifier.RequestID
	Organisation identifier.Organisation
	Service      identifier.Service
	// Repeatable requests may run more than once.
	Repeatable bool
	// Generates says that the request needs an upstream with weights.
	Generates bool
	// PromptTokens and AnswerTokens are the sizes that the caller gave, or 0.
	PromptTokens int
	AnswerTokens int
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Objective is the time to the first byte for the full worth.
	Objective time.Duration
	// Returned says that the request was refused before and came back.
	Returned        bool
	MaximumAttempts int
	// Random is a number that spreads choices among equals.
	Random uint64
}

// UpstreamView is what is known of one upstream.
type UpstreamView struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Service          identifier.Service
	Address          netip.AddrPort
	AvailabilityZone identifier.AvailabilityZone
	Region           identifier.Region
	Slots            int
	// Release is the number of the weights that it holds, or 0.
	Release  declarer.ReleaseNumber
	Draining bool
	// Stale: it has not been heard for long.
	Stale bool
}

// ServicePolicy is what is declared of one service.
type ServicePolicy struct {
	Service identifier.Service
	Engine  *declarer.Engine
	// Named are the releases of its model, the newest last.
	Named []declarer.Named
}

// Load is what an upstream says of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// UpstreamsChanged gives all upstreams that may be chosen.
type UpstreamsChanged struct{ Upstreams []UpstreamView }

// LoadObserved brings what an agent sees of its upstream.
type LoadObserved struct {
	Upstream identifier.Upstream
	Load     Load
}

// PolicyChanged gives all services.
type PolicyChanged struct{ Services []ServicePolicy }

// Arrived brings a request. Send or Refuse follows.
type Arrived struct{ Request Request }

// Answering says that the head of an answer came. Go or Send follows: Send
// where the answer is to be dropped for another attempt.
type Answering struct {
	Request identifier.RequestID
	Status  int
	Load    *Load
}

// Ended says that the answer of the attempt was taken whole.
type Ended struct {
	Request identifier.RequestID
	Load    *Load
	// Failed says that the upstream answered with a failure of its own.
	Failed bool
}

// Cause says how an attempt broke.
type Cause string

// The causes.
const (
	// NotConnected: no byte of the request was sent.
	NotConnected Cause = "NotConnected"
	// NotExecuted: the upstream said that it did not run the request.
	NotExecuted Cause = "NotExecuted"
	// Mistaken: it said so since it is another upstream, or holds other weights.
	Mistaken Cause = "Mistaken"
	// Lost: the connection broke after bytes were sent. The request may have run.
	Lost Cause = "Lost"
	// Silent: nothing came within the time that the effect set. It may have run.
	Silent Cause = "Silent"
	// Expired: the time of the request ended first. It may have run, and the
	// upstream is not to blame.
	Expired Cause = "Expired"
	// Failed: the answer is a failure of the upstream's own. It is no cause of Broke.
	Failed Cause = "Failed"
	// Garbled: the answer broke the protocol or belongs to another request.
	Garbled Cause = "Garbled"
)

// Broke says that the attempt gave no whole answer. Send, Refuse or Fail
// follows.
type Broke struct {
	Request identifier.RequestID
	Cause   Cause
	Load    *Load
	// Passed says that a part of the answer has gone to the caller.
	Passed bool
	// Resumable says that the answer can go on at another upstream.
	Resumable bool
}

// CallerGone ends a request without an answer.
type CallerGone struct{ Request identifier.RequestID }

func (UpstreamsChanged) isEvent() {}
func (LoadObserved) isEvent()     {}
func (PolicyChanged) isEvent()    {}
func (Arrived) isEvent()          {}
func (Answering) isEvent()        {}
func (Ended) isEvent()            {}
func (Broke) isEvent()            {}
func (CallerGone) isEvent()       {}
