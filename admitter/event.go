package admitter

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
	"celeryvalve/router"
)

// StreamID identifies one stream from an entry. The caller of Reduce assigns it.
type StreamID uint64

// Event is an input of the reducer.
type Event interface{ isEvent() }

// AttemptArrived reports that an attempt was received together with its whole body.
type AttemptArrived struct {
	Start  router.AttemptStart
	Stream StreamID
}

// AttemptAsked reports that an entry queries an attempt on a new stream, to resume its
// response or to learn that it has not started.
type AttemptAsked struct {
	Ask    router.AttemptAsk
	Stream StreamID
}

// AttemptCancelled reports that an entry cancelled the attempt. A non-idempotent
// attempt that is already running continues.
type AttemptCancelled struct {
	Cancel router.AttemptCancel
	Stream StreamID
}

// StreamLost reports that a stream of the attempt closed. If the response was
// delivered on it before, the event has no effect.
type StreamLost struct {
	Attempt identifier.AttemptID
	Stream  StreamID
}

// AttemptDelivered reports that the complete response was sent on the stream.
type AttemptDelivered struct {
	Attempt identifier.AttemptID
	Stream  StreamID
}

// ResponseStarted reports that the upstream's response began. Latency is the time
// since the agent began to send the request.
type ResponseStarted struct {
	Attempt identifier.AttemptID
	Latency time.Duration
	// Limit is what the response says of the requests per second that the upstream
	// accepts.
	Limit limiter.StatedLimit
}

// EndKind classifies how the run of an attempt ended.
type EndKind string

// The values of EndKind.
const (
	// Complete: the upstream's response is complete.
	Complete EndKind = "Whole"
	// Interrupted: the request failed or the upstream's response is incomplete.
	Interrupted EndKind = "Broke"
	// TimedOut: the upstream sent nothing for the progress timeout.
	TimedOut EndKind = "TimedOut"
	// Stopped: the run was cancelled.
	Stopped EndKind = "Stopped"
)

// AttemptFinished reports that the run of the attempt ended.
type AttemptFinished struct {
	Attempt identifier.AttemptID
	Kind    EndKind
}

// AttemptNotSent reports that no byte of the attempt reached the upstream, because no
// connection to it could be established. It replaces AttemptFinished.
type AttemptNotSent struct {
	Attempt identifier.AttemptID
}

// UpstreamChanged reports whether the upstream accepts requests. Crashed reports that
// its process has ended since the last UpstreamChanged event.
type UpstreamChanged struct {
	Ready   bool
	Crashed bool
}

// LoadObserved carries the load that the upstream reports: the numbers of requests
// that run and that wait inside it.
type LoadObserved struct {
	Running int
	Waiting int
}

// QuarantineChanged carries the control plane's lists of suspect and refused
// fingerprints.
type QuarantineChanged struct {
	Suspects []quarantiner.Fingerprint
	Refused  []quarantiner.Fingerprint
}

// Leave starts the drain: the agent starts no more attempts and refuses queued ones.
type Leave struct{}

// Ticked must be posted at short intervals. It drives timeouts and cleanup.
type Ticked struct{}

func (AttemptArrived) isEvent()    {}
func (AttemptAsked) isEvent()      {}
func (AttemptCancelled) isEvent()  {}
func (StreamLost) isEvent()        {}
func (AttemptDelivered) isEvent()  {}
func (ResponseStarted) isEvent()   {}
func (AttemptFinished) isEvent()   {}
func (AttemptNotSent) isEvent()    {}
func (UpstreamChanged) isEvent()   {}
func (LoadObserved) isEvent()      {}
func (QuarantineChanged) isEvent() {}
func (Leave) isEvent()             {}
func (Ticked) isEvent()            {}
