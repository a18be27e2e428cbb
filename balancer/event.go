package balancer

import (
	"net/netip"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/indexer"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
)

// Request is what the reducer needs to know of one request of a caller.
type Request struct {
	ID           identifier.RequestID
	Organisation identifier.Organisation
	Route        identifier.Route
	Service      identifier.Service
	// Fingerprint is the same for each resend of a request by its caller, or 0 if
	// resends are not recognised.
	Fingerprint quarantiner.Fingerprint
	// Parts are the fingerprints of the parts of the prompt that other requests may share.
	Parts []quarantiner.Fingerprint
	// Prompt lists the parts of the prompt in order. The last one belongs to the request or
	// its session.
	Prompt []indexer.Part
	// beginning is the prompt as it is compared with what upstreams hold. It is set only
	// if upstreams of the service keep beginnings of prompts.
	beginning indexer.Beginning
	// Repeatable requests may run more than once.
	Repeatable bool
	// Generates says that the request needs an upstream with weights.
	Generates bool
	// PromptTokens and AnswerTokens are the sizes given by the caller, or 0.
	PromptTokens int
	AnswerTokens int
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Objective is the time to the first byte within which the response has its
	// full value to the caller, or 0 for none.
	Objective time.Duration
	// Resubmitted says that the request was refused before and that its caller has
	// sent it again.
	Resubmitted     bool
	MaximumAttempts int
	// RouteHomes and OrganisationHomes are the regions in which the request may be
	// served. Both bind.
	RouteHomes        declarer.Homes
	OrganisationHomes declarer.Homes
	// Priority is the rank of the request among those of its service; 0 is the highest.
	Priority int
	// Random is a random number from which all random choices for the request are
	// derived.
	Random uint64
}

// UpstreamView describes one upstream.
type UpstreamView struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Service          identifier.Service
	Address          netip.AddrPort
	AvailabilityZone identifier.AvailabilityZone
	Region           identifier.Region
	Slots            int
	// Release is the number of the weights that the upstream holds, or 0 for none.
	Release  declarer.ReleaseNumber
	Draining bool
	// Stale says that the upstream has not been heard from for long.
	Stale bool
	// Limit is the limit on requests per second that the upstream has named to any entry.
	Limit limiter.RequestLimit
	// ColdUntil is when the upstream has warmed up after a start, or a time in the past.
	ColdUntil time.Time
}

// Entry is an entry that takes callers' requests.
type Entry struct {
	Name             identifier.Instance
	AvailabilityZone identifier.AvailabilityZone
}

// ServicePolicy is the declaration of one service. Engine is nil for a service
// without engines.
type ServicePolicy struct {
	Service identifier.Service
	Engine  *declarer.Engine
	// Releases lists the releases of the service's model, the newest last.
	Releases []declarer.WantedRelease
	// ColdRate is declarer.Service.ColdRate.
	ColdRate float64
}

// Load is how many requests an upstream reports with a response: those that run,
// those that wait, and how many it can run at once.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at this moment in proportion to the usual time, or 0 if
	// the upstream does not say. It may change many times a second.
	Pace float64
}

// Event is an input of the reducer. The Attempt of an event is Send.Attempt, or 0 for the latest
// attempt of the request in progress.
type Event interface{ isEvent() }

// UpstreamsChanged carries all upstreams that may be chosen.
type UpstreamsChanged struct{ Upstreams []UpstreamView }

// LoadObserved brings the load of an upstream as its agent observed it.
type LoadObserved struct {
	Upstream identifier.Upstream
	Load     Load
}

// PolicyChanged carries the policies of all services.
type PolicyChanged struct{ Services []ServicePolicy }

// RequestArrived brings a request. Send or Refuse follows.
type RequestArrived struct{ Request Request }

// ResponseStarted says that the head of a response arrived. NoEffect follows.
type ResponseStarted struct {
	Request identifier.RequestID
	Attempt int
	Status  int
	Load    *Load
}

// StreamProgressed says that the attempt has brought so many events of a stream, of which
// the last came just now. NoEffect follows.
type StreamProgressed struct {
	Request identifier.RequestID
	Attempt int
	Events  int
}

// ResponseCompleted says that the response of the attempt was received completely. NoEffect
// follows if the caller gets it. Of an error Send may follow for another attempt, or Await.
type ResponseCompleted struct {
	Request identifier.RequestID
	Attempt int
	Load    *Load
	// IsError says that the response is an error of the upstream itself.
	IsError bool
	// Unframed says that the response had neither a length nor chunks, so that the end of
	// its connection was its end.
	Unframed bool
}

// QuarantineChanged carries the newest summary of the quarantine.
type QuarantineChanged struct{ Summary quarantiner.Summary }

// ConnectionRefused says that the upstream refused a connection: nothing listens at its
// address.
type ConnectionRefused struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// RetryBurstChanged changes Config.RetryBurst, since the number of entries that share the
// retry budget has changed.
type RetryBurstChanged struct{ Burst float64 }

// Cause says how an attempt failed.
type Cause string

// The causes of a failed attempt.
const (
	// NotConnected: no byte of the request was sent.
	NotConnected Cause = "NotConnected"
	// NotExecuted: the upstream reported that it did not run the request.
	NotExecuted Cause = "NotExecuted"
	// Misdirected: the upstream reported that it did not run the request because it is
	// another upstream than the intended one, or holds other weights.
	Misdirected Cause = "Mistaken"
	// ConnectionLost: the connection broke after bytes were sent. The request may have run.
	ConnectionLost Cause = "Lost"
	// FirstByteTimedOut: nothing arrived for a timeout. The request may have run. Of an attempt
	// that goes on it occurs in EjectionChange only.
	FirstByteTimedOut Cause = "Silent"
	// Expired: the deadline of the request passed first. The request may have run.
	// This does not count as a failure of the upstream.
	Expired Cause = "Expired"
	// UpstreamError: the response is an error of the upstream itself. It occurs in EjectionChange
	// but not in AttemptFailed.
	UpstreamError Cause = "Failed"
	// NotBegun: the attempt was withdrawn since its upstream had not begun it in the time for its
	// release. The request may have run. It does not occur in AttemptFailed.
	NotBegun Cause = "NotBegun"
	// ProtocolError: the response violated the protocol or belongs to another request.
	ProtocolError Cause = "Garbled"
	// TooLarge: the response, or an event of it, exceeds what an entry takes in, or has room for.
	// The request may have run.
	TooLarge Cause = "TooLarge"
	// NoMemory: the entry has no memory for a response that isn't large. The request may have run,
	// and the upstream is not at fault.
	NoMemory Cause = "NoMemory"
)

// AttemptFailed says that the attempt ended without a complete response. Send, Await, Refuse or
// Fail follows.
type AttemptFailed struct {
	Request identifier.RequestID
	Attempt int
	Cause   Cause
	Load    *Load
	// PartlySent says that a part of the response has gone to the caller.
	PartlySent bool
	// Resumable says that another upstream can continue the response.
	Resumable bool
}

// AttemptConnected says that the attempt has a connection and is about to be sent. NoEffect
// follows if it is to be sent. Otherwise Send, Await, Refuse or Fail follows, and nothing is sent
// on the connection.
type AttemptConnected struct {
	Request identifier.RequestID
	Attempt int
}

// AttemptStalled says that nothing has come from the upstream of the attempt for a timeout. The
// attempt goes on. Send follows if another one is to be made beside it, and NoEffect otherwise.
type AttemptStalled struct {
	Request identifier.RequestID
	Attempt int
	// PartlySent says that a part of a response has gone to the caller.
	PartlySent bool
	// Resumable says that another upstream can continue the response.
	Resumable bool
}

// AttemptUnbegun says that BeginBy has come and the response of the attempt has not begun. Postpone
// follows if the attempt goes on. Otherwise Send, Await, Refuse or Fail follows, and the attempt is
// withdrawn.
type AttemptUnbegun struct {
	Request identifier.RequestID
	Attempt int
	// PartlySent says that a part of a response has gone to the caller.
	PartlySent bool
	// Resumable says that another upstream can continue the response.
	Resumable bool
}

// AttemptChosen says that the caller gets the response of the attempt, and that the other
// attempts of the request are closed. NoEffect follows.
type AttemptChosen struct {
	Request identifier.RequestID
	Attempt int
}

// RestRequested says that an upstream wants no requests of this entry for a time.
type RestRequested struct {
	// Request is the request whose answer it is.
	Request     identifier.RequestID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Rest        time.Duration
}

// LeavingStated says that an upstream is about to end and accepts no new requests.
type LeavingStated struct {
	// Request is the request whose answer it is.
	Request     identifier.RequestID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// EvacuationsChanged carries all availability zones whose upstreams get no requests.
type EvacuationsChanged struct{ Evacuated []identifier.AvailabilityZone }

// ControlObserved says whether control works. While it does not, and anew from SteadySince on,
// the time for a release does not pass.
type ControlObserved struct {
	Reached bool
	// LastReached is when control was last reached.
	LastReached time.Time
	// SteadySince is since when it works without an outage, or zero.
	SteadySince time.Time
}

// HomesChanged says that other homes were declared for the route or the organisation of a
// request that is in flight.
type HomesChanged struct {
	Request           identifier.RequestID
	RouteHomes        declarer.Homes
	OrganisationHomes declarer.Homes
}

// CallerGone says that the caller has stopped waiting, which ends the request
// without an answer.
type CallerGone struct{ Request identifier.RequestID }

// EntriesChanged carries all entries that take requests. They share the limits of
// upstreams. While the list is empty, upstreams with a limit get no requests.
type EntriesChanged struct{ Entries []Entry }

// LimitStated carries what an answer of an upstream says of the requests per second that
// it accepts.
type LimitStated struct {
	// Request is the request whose answer it is.
	Request     identifier.RequestID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Limit       limiter.StatedLimit
	// UnderStamp is Send.LimitStamp of the attempt.
	UnderStamp uint64
}

func (LimitStated) isEvent()        {}
func (EvacuationsChanged) isEvent() {}
func (DrainStarted) isEvent()       {}
func (ControlObserved) isEvent()    {}
func (HomesChanged) isEvent()       {}
func (RestRequested) isEvent()      {}
func (LeavingStated) isEvent()      {}
func (AttemptConnected) isEvent()   {}
func (AttemptStalled) isEvent()     {}
func (AttemptUnbegun) isEvent()     {}
func (AttemptChosen) isEvent()      {}
func (EntriesChanged) isEvent()     {}
func (UpstreamsChanged) isEvent()   {}
func (LoadObserved) isEvent()       {}
func (PolicyChanged) isEvent()      {}
func (RequestArrived) isEvent()     {}
func (ResponseStarted) isEvent()    {}
func (StreamProgressed) isEvent()   {}
func (ResponseCompleted) isEvent()  {}
func (AttemptFailed) isEvent()      {}
func (CallerGone) isEvent()         {}
func (QuarantineChanged) isEvent()  {}
func (RetryBurstChanged) isEvent()  {}
func (ConnectionRefused) isEvent()  {}
