package relayer

import (
	"net/http"
	"time"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// CallerHeader is what the header of a caller's request says.
type CallerHeader struct {
	// Attempt identifies the request; each resend by the caller has its own.
	Attempt identifier.AttemptID
	// Remaining is how long the caller waits, or 0 where it doesn't say.
	Remaining time.Duration
	// Key proves whose caller it is, or is empty.
	Key string
	// PromptTokens and AnswerTokens are the sizes of a prompt and of its answer at
	// most, or 0.
	PromptTokens int
	AnswerTokens int
	// LastEvent is the last event of a stream that the caller has, or empty.
	LastEvent string
}

// UpstreamHeader is what an attempt adds to the caller's header.
type UpstreamHeader struct {
	Remaining    time.Duration
	Target       identifier.Upstream
	Organisation identifier.Organisation
	// Urgency orders the request among those that wait at the upstream; 0 is first.
	Urgency int
	// Expect is the release that the upstream must hold, or 0 for any.
	Expect declarer.ReleaseNumber
	// LastEvent is the last event that the caller has, or empty.
	LastEvent string
}

// AnswerHeader is what the header of an upstream's answer says.
type AnswerHeader struct {
	Attempt identifier.AttemptID
	// NotExecuted says that the upstream did not run the request.
	NotExecuted bool
	// Mistaken says that it is another upstream, or holds other weights.
	Mistaken bool
	// Signed says that the answer bears the upstream's proof.
	Signed bool
	Load   *balancer.Load
}

// Dialect knows the names of headers on the way.
type Dialect interface {
	ReadCaller(h http.Header) CallerHeader
	// WriteUpstream turns a copy of the caller's header into the attempt's.
	WriteUpstream(h http.Header, u UpstreamHeader)
	ReadAnswer(status int, h http.Header) AnswerHeader
	// WriteOwn marks an answer of the system's own to the attempt.
	WriteOwn(h http.Header, attempt identifier.AttemptID, retryAfter time.Duration)
}
