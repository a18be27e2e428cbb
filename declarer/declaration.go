package declarer

import (
	"time"

	"celeryvalve/identifier"
)

// Declaration is one version of everything that operators declare. It is
// immutable once it is accepted: its maps must not be written to.
type Declaration struct {
	// Version is the operator's number. Zero: nothing was declared yet.
	Version       identifier.ConfigurationVersion
	Routes        map[identifier.Route]Route
	Services      map[identifier.Service]Service
	Organisations map[identifier.Organisation]Organisation
	Limits        Limits
}

// RequestKind says what may be repeated of a request.
type RequestKind string

// The kinds of requests.
const (
	Idempotent    RequestKind = "Idempotent"    // may run more than once
	NonIdempotent RequestKind = "NonIdempotent" // runs once at most
	Streaming     RequestKind = "Streaming"     // answers by events; runs once at most unless it is resumable
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RequestKind
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// FirstByte is the time within which an answer, or the first event of a
	// stream, has its full worth to the caller.
	FirstByte time.Duration
	// BetweenEvents is the longest pause between two events of a stream that is
	// still on time. Zero: none is set.
	BetweenEvents time.Duration
	// Priority is the rank of the requests; 0 goes first.
	Priority int
	// MaximumAttempts is on how many upstreams one request may be tried.
	MaximumAttempts int
	// Generates says that requests carry a prompt for a model.
	Generates bool
	// Targets are the services of the route with their shares. There is one at least.
	Targets []Target
}

// Repeatable reports whether requests of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Target is one service of a route.
type Target struct {
	Service identifier.Service
	Weight  int // share of the requests among the weights of all targets
}

// Service is a set of upstreams that run the same work, or an origin of weights.
type Service struct {
	// MaximumConnections is how many connections one upstream, or the origin,
	// takes from all callers together. Zero: not known.
	MaximumConnections int
	// Origin is the address of an origin of weights. Empty: the service runs requests.
	Origin string
	// Engine is set where the upstreams are model engines.
	Engine *Engine `cbor:",omitempty"`
}

// Engine is the model of how fast an engine works, as its operators measured it.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// TokenCapacity is how many tokens of running requests its memory holds.
	TokenCapacity int
	// StepTime is the time of one token step without requests.
	StepTime time.Duration
	// StepPerRequest is added to a step for each request that writes.
	StepPerRequest time.Duration
	// StepPerThousandTokens is added for each 1,000 tokens of context of those.
	StepPerThousandTokens time.Duration
	// ReadRate is how many prompt tokens are read in a second.
	ReadRate float64
	// PairsTime is added for a million pairs of a prompt token and an earlier one.
	PairsTime time.Duration
	// ReadChunk is how many prompt tokens are read in one step at most.
	ReadChunk int
	// StepsPerPass is how many token steps one pass takes while requests write.
	StepsPerPass int
	// MeanPrompt and MeanAnswer are the usual sizes of a request, in tokens.
	MeanPrompt int
	MeanAnswer int
	// Model is the model that the engines run, and its weights' layout.
	Model     identifier.Model
	WarmUp    time.Duration // of a load of all layers
	Layers    int
	Chunks    int
	ChunkSize identifier.ByteCount
}

// Organisation is a customer on whose behalf requests are made.
type Organisation struct {
	// Keys are the digests of its callers' keys.
	Keys []identifier.Digest
	// Priority, where set, goes before that of a route. 0 goes first.
	Priority *int `cbor:",omitempty"`
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
}
