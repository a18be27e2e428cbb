package relayer

import (
	"net/http"
	"time"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/indexer"
	"celeryvalve/limiter"
)

// CallerHeader holds the values that a Dialect reads from the header of a caller's
// request.
type CallerHeader struct {
	// Attempt identifies the request. A caller that retries sends a new one.
	Attempt identifier.AttemptID
	// Remaining is how long the caller still waits for the response. Zero means that the
	// caller gave no time.
	Remaining time.Duration
	// Key is the API key of the caller's organisation. It may be empty.
	Key string
	// PromptTokens is the size of the prompt, and AnswerTokens the maximum size of its
	// answer, both in tokens. Zero means that the size is not known.
	PromptTokens int
	AnswerTokens int
	// PromptParts are the parts of the prompt, in order. The last one belongs to the
	// request or its session, and others may be in the prompts of many requests.
	PromptParts []indexer.Part
	// LastEvent is the last event of a stream that the caller has, or empty.
	LastEvent string
}

// UpstreamHeader holds the values that a Dialect writes to the header of a request
// to an upstream.
type UpstreamHeader struct {
	Remaining    time.Duration
	Target       identifier.Upstream
	Organisation identifier.Organisation
	// Urgency orders the requests that wait at the upstream, lowest value first.
	Urgency int
	// ExpectedRelease is the release that the upstream must hold. Zero means any release.
	ExpectedRelease declarer.ReleaseNumber
	// LastEvent is the last event that the caller has, or empty.
	LastEvent string
}

// ResponseHeader holds the values that a Dialect reads from the header of an
// upstream's response.
type ResponseHeader struct {
	Attempt identifier.AttemptID
	// NotExecuted means that the upstream did not run the request.
	NotExecuted bool
	// Misdirected means that the request reached an upstream other than its target, or
	// one without the expected release, and was not run.
	Misdirected bool
	// Signed means that the response carries the upstream's signature.
	Signed bool
	// Load is the load that the upstream reports, or nil if it reports none.
	Load *balancer.Load
	// Limit is the limit on requests per second that the upstream names.
	Limit limiter.StatedLimit
	// Rest is how long the upstream wants no request from this entry, or 0.
	Rest time.Duration
	// ColdRemaining is how long the upstream stays cold, or 0 if it does not say.
	ColdRemaining time.Duration
	// Leaving means that the upstream is about to end and accepts no new requests.
	Leaving bool
}

// Dialect maps between HTTP headers and the values that the relayer uses.
type Dialect interface {
	// ReadCaller reads the header of a caller's request.
	ReadCaller(h http.Header) CallerHeader
	// WriteUpstream turns h, a copy of the caller's header, into the header of a
	// request to an upstream.
	WriteUpstream(h http.Header, u UpstreamHeader)
	// ReadAnswer reads the status and header of an upstream's response.
	ReadAnswer(status int, h http.Header) ResponseHeader
	// WriteOwn writes the header of a response that the relayer generates itself. A
	// retryAfter of 0 writes no time.
	WriteOwn(h http.Header, attempt identifier.AttemptID, retryAfter time.Duration)
}
