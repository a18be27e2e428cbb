package identifier

// Instance names one machine, as the platform knows it.
type Instance string

// Region names a region of the platform.
type Region string

// AvailabilityZone names a zone of a region whose machines may fail together.
type AvailabilityZone string

// Organisation names a customer on whose behalf requests are made.
type Organisation string

// Upstream names one back end that runs requests: an engine or a plain service.
type Upstream string

// Service names a set of upstreams that serve the same declared model or program.
type Service string

// Route names a rule that sends requests to services.
type Route string

// Model names a model of the origin.
type Model string

// Adapter names an adapter that is loaded beside a model.
type Adapter string

// WeightVersion names one version of the weights of a model or adapter.
type WeightVersion string

// Operator names a person or program that submits patches.
type Operator string

// RequestID identifies one request of a caller, over all of its attempts.
type RequestID string

// AttemptID identifies one attempt to run a request on one upstream.
type AttemptID string

// IdempotencyKey is the caller's name for a non-idempotent request.
type IdempotencyKey string

// PatchID is the operator's name for a patch. A resent patch bears the same one.
type PatchID string

// Replica identifies one control replica together with its disk. A replica that
// lost its disk comes back under a new Replica.
type Replica string

// ConfigurationVersion numbers the whole configuration. Versions only rise.
type ConfigurationVersion uint64

// FencingToken orders the givers of orders to one upstream. Tokens only rise.
type FencingToken uint64

// Incarnation counts the starts of one process. It only rises.
type Incarnation uint64

// ByteCount is a number of bytes.
type ByteCount int64

// BytesPerSecond is a rate of transfer.
type BytesPerSecond float64
