package declarer

import (
	"time"

	"celeryvalve/identifier"
)

// Declaration is one version of the configuration that operators submit. It is
// immutable once it is accepted: its maps must not be written to.
type Declaration struct {
	// Version is chosen by the operator. Zero means that nothing was declared yet.
	Version       identifier.ConfigurationVersion
	Routes        map[identifier.Route]Route
	Services      map[identifier.Service]Service
	Organisations map[identifier.Organisation]Organisation
	Limits        Limits
}

// RequestKind determines whether a request may run more than once.
type RequestKind string

// The kinds of requests.
const (
	Idempotent    RequestKind = "Idempotent"    // may run more than once
	NonIdempotent RequestKind = "NonIdempotent" // runs at most once
	Streaming     RequestKind = "Streaming"     // answered as a stream of events; runs at most once unless it is resumable
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RequestKind
	// Resumable means that a stream may continue on another upstream after its last
	// event.
	Resumable bool
	// Public means that requests need no key.
	Public bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// FirstByte is the time within which an answer, or the first event of a stream,
	// is of full value to the caller.
	FirstByte time.Duration
	// BetweenEvents is the longest pause between two events of a stream that still
	// counts as on time. Zero means that there is no such limit.
	BetweenEvents time.Duration
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// MaximumAttempts is the maximum number of upstreams on which one request is
	// tried.
	MaximumAttempts int
	// Generates means that requests carry a prompt for a model.
	Generates bool
	// Targets are the services of the route with their weights. There is at least
	// one.
	Targets []Target
	// Homes are the regions in which requests of the route may be served.
	Homes Homes `cbor:",omitempty"`
}

// Repeatable reports whether requests of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Target is one service of a route.
type Target struct {
	Service identifier.Service
	Weight  int // share of the requests, relative to the sum of all targets' weights
}

// Service is a set of interchangeable upstreams, or an origin of weights.
type Service struct {
	// MaximumConnections is how many connections one upstream, or the origin,
	// accepts from all callers together. Zero means that the limit is not known.
	MaximumConnections int
	// Origin is the address of an origin of weights. It is empty if the service
	// runs requests.
	Origin string
	// OriginRate is what the origin's link carries, or 0 if that is not known.
	OriginRate identifier.BytesPerSecond `cbor:",omitempty"`
	// Engine is set if the upstreams are model engines.
	Engine *Engine `cbor:",omitempty"`
	// ColdRate is how many requests per second a cold upstream bears from all entries
	// together. Zero means that upstreams are never cold.
	ColdRate float64 `cbor:",omitempty"`
}

// Engine is a performance model of a model engine, with parameters that the
// operators measured.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// TokenCapacity is how many tokens of running requests fit into its memory.
	TokenCapacity int
	// PrefixTokens is how many tokens of the beginnings of prompts an engine keeps after
	// their requests, so that requests which share them need not have them read again. Zero
	// means that it keeps none.
	PrefixTokens int `cbor:",omitempty"`
	// StepTime is the duration of one decoding step without requests.
	StepTime time.Duration
	// StepPerRequest is added to a step for each request that is being decoded.
	StepPerRequest time.Duration
	// StepPerThousandTokens is added to a step for each 1,000 tokens of context of
	// the requests that are being decoded.
	StepPerThousandTokens time.Duration
	// ReadRate is how many prompt tokens are processed per second.
	ReadRate float64
	// PairsTime is the quadratic part of the time to process a prompt: it is added
	// for each million pairs of a prompt token and an earlier one.
	PairsTime time.Duration
	// ReadChunk is the maximum number of prompt tokens processed in one step.
	ReadChunk int
	// StepsPerPass is how many decoding steps one pass takes while requests are
	// being decoded.
	StepsPerPass int
	// MeanPrompt and MeanAnswer are the typical sizes of a request's prompt and
	// answer, in tokens.
	MeanPrompt int
	MeanAnswer int
	// Model is the model that the engines run. The fields after it describe the
	// loading and the layout of its weights.
	Model     identifier.Model
	WarmUp    time.Duration // for loading all layers
	Layers    int
	Chunks    int
	ChunkSize identifier.ByteCount
}

// Organisation is a customer on whose behalf requests are made.
type Organisation struct {
	// Keys are the digests of its callers' keys.
	Keys []identifier.Digest
	// Priority, if set, overrides the priority of the route. 0 is the highest
	// priority.
	Priority *int `cbor:",omitempty"`
	// Homes are the regions in which its requests may be served. Where the route has
	// homes too, both bind.
	Homes Homes `cbor:",omitempty"`
}

// Limits bounds the size of a caller's request, and the time that the caller may
// take to send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
}
