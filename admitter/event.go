package admitter

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

// StreamID names one stream from an entry, as the shell numbers them.
type StreamID uint64

// Event is an input of the reducer.
type Event interface{ isEvent() }

// AttemptArrived says that an attempt came with its whole body.
type AttemptArrived struct {
	Start  router.AttemptStart
	Stream StreamID
}

// AttemptAsked says that an entry asks after an attempt on a new stream.
type AttemptAsked struct {
	Ask    router.AttemptAsk
	Stream StreamID
}

// AttemptCancelled says that an entry gave the attempt up.
type AttemptCancelled struct {
	Cancel router.AttemptCancel
	Stream StreamID
}

// StreamLost says that a stream of the attempt ended before the answer did.
type StreamLost struct {
	Attempt identifier.AttemptID
	Stream  StreamID
}

// AttemptDelivered says that the whole answer was sent on the stream.
type AttemptDelivered struct {
	Attempt identifier.AttemptID
	Stream  StreamID
}

// AttemptAnswering says that the upstream's answer began after the latency.
type AttemptAnswering struct {
	Attempt identifier.AttemptID
	Latency time.Duration
}

// EndKind says how the run of an attempt ended.
type EndKind string

// The kinds of ends.
const (
	// Whole: the upstream's answer is whole.
	Whole EndKind = "Whole"
	// Broke: the upstream's answer broke off.
	Broke EndKind = "Broke"
	// TimedOut: the upstream sent nothing for the progress timeout.
	TimedOut EndKind = "TimedOut"
	// Stopped: the run was cancelled.
	Stopped EndKind = "Stopped"
)

// AttemptFinished says that the run of the attempt ended.
type AttemptFinished struct {
	Attempt identifier.AttemptID
	Kind    EndKind
}

// AttemptNotSent says that no byte of the attempt reached the upstream, since no
// connection to it could be made. It stands in place of AttemptFinished.
type AttemptNotSent struct {
	Attempt identifier.AttemptID
}

// UpstreamChanged says whether the upstream can take work. Crashed says that its
// process ended since the last event.
type UpstreamChanged struct {
	Ready   bool
	Crashed bool
}

// LoadObserved is the load that the upstream reports of itself.
type LoadObserved struct {
	Running int
	Waiting int
}

// QuarantineChanged carries control's lists of suspect and refused fingerprints.
type QuarantineChanged struct {
	Suspects []router.Fingerprint
	Refused  []router.Fingerprint
}

// Leave says that the upstream is leaving: it starts nothing new from now on.
type Leave struct{}

// Ticked is sent at short intervals.
type Ticked struct{}

func (AttemptArrived) isEvent()    {}
func (AttemptAsked) isEvent()      {}
func (AttemptCancelled) isEvent()  {}
func (StreamLost) isEvent()        {}
func (AttemptDelivered) isEvent()  {}
func (AttemptAnswering) isEvent()  {}
func (AttemptFinished) isEvent()   {}
func (AttemptNotSent) isEvent()    {}
func (UpstreamChanged) isEvent()   {}
func (LoadObserved) isEvent()      {}
func (QuarantineChanged) isEvent() {}
func (Leave) isEvent()             {}
func (Ticked) isEvent()            {}
