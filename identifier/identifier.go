package identifier

// Instance is the platform's name of one machine.
type Instance string

// Region names a region of the platform.
type Region string

// AvailabilityZone names a part of a region. The machines of one zone may fail together.
type AvailabilityZone string

// Organisation names a customer on whose behalf requests are made.
type Organisation string

// Upstream names one back end that runs requests: an inference engine or a plain service.
type Upstream string

// Service names a set of upstreams that serve the same declared model or program.
type Service string

// Route names a rule that sends requests to services.
type Route string

// Model names a model whose weights the origin stores.
type Model string

// Adapter names an adapter that is loaded in addition to a model.
type Adapter string

// WeightVersion names one version of the weights of a model or adapter.
type WeightVersion string

// Operator names a person or program that submits patches.
type Operator string

// RequestID identifies one request of a caller. All attempts to run it share the ID.
type RequestID string

// AttemptID identifies one attempt to run a request on one upstream.
type AttemptID string

// IdempotencyKey is the key that a caller gives to a non-idempotent request, so that a
// repetition of the request does not run it again.
type IdempotencyKey string

// PatchID is the ID that the operator gives to a patch. A patch that is sent again has the
// same ID.
type PatchID string

// Replica identifies one control replica together with its disk. A replica that has lost
// its disk rejoins with a new Replica.
type Replica string

// ConfigurationVersion is the version of the whole configuration. It never decreases.
type ConfigurationVersion uint64

// FencingToken orders the agents that have been allowed to send orders to one upstream:
// each grant has a higher token than all earlier ones. An upstream that checks tokens
// rejects the orders of an agent with an old token.
type FencingToken uint64

// Incarnation counts the starts of one process. Each start has a higher value.
type Incarnation uint64

// ByteCount is a number of bytes.
type ByteCount int64

// BytesPerSecond is a transfer rate in bytes per second.
type BytesPerSecond float64
