package admitter

import (
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// Effect is an output of the reducer, for the shell to carry out.
type Effect interface{ isEffect() }

// Accept tells the stream that the attempt is queued or running.
type Accept struct {
	Stream  StreamID
	Message router.AttemptAccepted
}

// Refuse tells the stream that the attempt has not started and never will.
type Refuse struct {
	Stream  StreamID
	Message router.AttemptRefused
}

// Gone tells the stream that the attempt may have run and can't be continued.
type Gone struct {
	Stream  StreamID
	Message router.AttemptGone
}

// Attach sends the answer of the attempt on the stream, from the offset on.
type Attach struct {
	Attempt  identifier.AttemptID
	Stream   StreamID
	Offset   identifier.ByteCount
	WantHead bool
}

// Run starts the attempt at the upstream. AttemptFinished must follow.
type Run struct {
	Attempt identifier.AttemptID
}

// Stop cancels the run of the attempt.
type Stop struct {
	Attempt identifier.AttemptID
}

// Forget drops everything that the shell holds of the attempt.
type Forget struct {
	Attempt identifier.AttemptID
}

// InFlight is a request that was running when the upstream crashed.
type InFlight struct {
	Fingerprint  router.Fingerprint
	Organisation identifier.Organisation
	Service      identifier.Service
}

// CrashReport names what was running when the upstream crashed.
type CrashReport struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	// Crash numbers the crashes that this incarnation of the agent saw.
	Crash    uint64
	Suspects []InFlight
	// Alone says that the one suspect was running alone, as a suspect.
	Alone bool
}

// ReportCrash tells control about a crash.
type ReportCrash struct {
	Report CrashReport
}

// ReportCleared tells control that a suspect ran without a crash.
type ReportCleared struct {
	Fingerprint router.Fingerprint
}

// Drained says that the last attempt ended and was delivered after Leave.
type Drained struct{}

func (Accept) isEffect()        {}
func (Refuse) isEffect()        {}
func (Gone) isEffect()          {}
func (Attach) isEffect()        {}
func (Run) isEffect()           {}
func (Stop) isEffect()          {}
func (Forget) isEffect()        {}
func (ReportCrash) isEffect()   {}
func (ReportCleared) isEffect() {}
func (Drained) isEffect()       {}
