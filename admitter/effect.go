package admitter

import (
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
	"celeryvalve/router"
)

// Effect is an output of the reducer that the caller of Reduce carries out.
type Effect interface{ isEffect() }

// Accept sends on the stream that the attempt is queued, running or ended.
type Accept struct {
	Stream  StreamID
	Message router.AttemptAccepted
}

// Refuse sends on the stream that the attempt has not started and never will.
type Refuse struct {
	Stream  StreamID
	Message router.AttemptRefused
}

// Gone sends on the stream that the attempt may have run and that its response can't
// be resumed.
type Gone struct {
	Stream  StreamID
	Message router.AttemptGone
}

// Attach sends the response of the attempt on the stream, starting at the offset of
// its body. WantHead asks for the response head as well.
type Attach struct {
	Attempt  identifier.AttemptID
	Stream   StreamID
	Offset   identifier.ByteCount
	WantHead bool
}

// Run starts the attempt at the upstream. An AttemptFinished or AttemptNotSent event
// must follow.
type Run struct {
	Attempt identifier.AttemptID
}

// Stop cancels the run of the attempt.
type Stop struct {
	Attempt identifier.AttemptID
}

// Forget releases everything that the caller of Reduce holds for the attempt.
type Forget struct {
	Attempt identifier.AttemptID
}

// InFlightRequest identifies a request that was running when the upstream crashed.
type InFlightRequest struct {
	Fingerprint  quarantiner.Fingerprint
	Organisation identifier.Organisation
	Service      identifier.Service
}

// CrashReport lists the requests that were running when the upstream crashed.
type CrashReport struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Number counts the crashes that this incarnation of the agent has observed, and so
	// numbers the report from 1.
	Number uint64
	// Suspects leaves out attempts without a fingerprint.
	Suspects []InFlightRequest
	// Alone reports that the only suspect was running alone, because it was a suspect
	// before the crash.
	Alone bool
}

// ReportCrash sends the report of a crash to the control plane.
type ReportCrash struct {
	Report CrashReport
}

// ReportCleared informs the control plane that a suspect ran alone without a crash.
type ReportCleared struct {
	Fingerprint quarantiner.Fingerprint
}

// RequestLimitChanged reports that the upstream named, changed or ended its limit on
// requests per second in the response to the request.
type RequestLimitChanged struct {
	Limit   limiter.RequestLimit
	Request identifier.RequestID
}

// Drained reports, after Leave, that the last attempt has ended and that its response
// was delivered.
type Drained struct{}

func (RequestLimitChanged) isEffect() {}
func (Accept) isEffect()              {}
func (Refuse) isEffect()              {}
func (Gone) isEffect()                {}
func (Attach) isEffect()              {}
func (Run) isEffect()                 {}
func (Stop) isEffect()                {}
func (Forget) isEffect()              {}
func (ReportCrash) isEffect()         {}
func (ReportCleared) isEffect()       {}
func (Drained) isEffect()             {}
