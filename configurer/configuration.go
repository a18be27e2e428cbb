package configurer

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// Configuration is one version of all objects that operators declare.
type Configuration struct {
	Version identifier.ConfigurationVersion
	Objects
	// Stamps holds the version that last changed each object. A stamp without
	// an object is the tombstone of a removed object.
	Stamps map[Ref]identifier.ConfigurationVersion
	// Size is approximately the size of the printed objects, exact enough to
	// enforce MaximumConfigurationSize. Only Apply maintains it, for the next
	// patch.
	Size identifier.ByteCount
	// Floor is the oldest version from which a delta can be made.
	Floor identifier.ConfigurationVersion
}

// Objects holds the objects of a configuration. Its fields are the tables of a
// patch file, and their help tags are the descriptions in the reference of
// patch files.
type Objects struct {
	Organisations map[identifier.Organisation]Organisation
	Operators     map[identifier.Operator]Operator
	Models        map[identifier.Model]Model
	Adapters      map[identifier.Adapter]Adapter
	Services      map[identifier.Service]Service
	Transfers     Transfers
}

// Organisation is a customer on whose behalf requests are made.
type Organisation struct {
	Share        int                 `help:"weight of its fair share, from 1 up"`
	TokenDigests []identifier.Digest `help:"digests of its callers' bearer tokens"`
}

// Operator is a user who may submit patches.
type Operator struct {
	TokenDigest identifier.Digest `help:"digest of the operator's bearer token"`
}

// Model is a model whose weights the origin serves.
type Model struct {
	Versions map[identifier.WeightVersion]Release
}

// Adapter is a set of weights that is loaded in addition to those of one model.
type Adapter struct {
	Model    identifier.Model `help:"model that the adapter belongs to"`
	Versions map[identifier.WeightVersion]Release
}

// Release is one version of the weights of a model or adapter. The digest of
// its manifest never changes once it is declared.
type Release struct {
	Manifest identifier.Digest `help:"digest of the manifest; can't be changed later"`
	Source   string            `help:"path of the manifest at the origin and the weight store"`
}

// Service is a set of interchangeable upstreams, with the weights that they
// load and the rules for the requests to them.
type Service struct {
	Kind               parser.UpstreamKind                             `help:"what its upstreams are; must be set"`
	Model              identifier.Model                                `help:"model of an Engine service"`
	Version            identifier.WeightVersion                        `help:"version of the model"`
	Adapters           map[identifier.Adapter]identifier.WeightVersion `help:"version of each adapter that is loaded too"`
	IdempotentMethods  []string                                        `help:"HTTP methods whose requests may be repeated"`
	IdempotentPaths    []string                                        `help:"starts of paths that may be repeated with any method"`
	NonIdempotentPaths []string                                        `help:"starts of paths that may not be repeated with any method; the longest start decides"`
	Priority           int                                             `help:"higher goes first"`
	Deadline           time.Duration                                   `help:"of a request that names none"`
	QueueLimit         int                                             `help:"requests that may wait at one entry"`
	RetryBudget        float64                                         `help:"retries per request, over the whole service, from 0 to 1"`
	Concurrency        Concurrency
	ReportsLoad        bool                      `help:"its upstreams report their load"`
	Organisations      []identifier.Organisation `help:"who may call it; none means all"`
	Favour             Favour                    `help:"which measure its transfers put first; Inherit takes Transfers.Favour"`
	Role               string                    `help:"role that its engines are ordered to take; empty gives no order"`
	PauseRollout       bool                      `help:"its upstreams keep the weights that they have loaded"`
	Objectives         Objectives
}

// Concurrency bounds the limit that the limiter sets for one upstream.
type Concurrency struct {
	Minimum int `help:"least that the limiter lets run at once on one upstream"`
	Maximum int `help:"most that the limiter lets run at once on one upstream"`
}

// Objectives are the service-level objectives of a service.
type Objectives struct {
	FirstToken    time.Duration `help:"from the request to the first byte of the answer"`
	BetweenTokens time.Duration `help:"between two parts of the answer"`
	ReadyWithin   time.Duration `help:"from an accepted version until upstreams serve it"`
	Target        float64       `help:"fraction of requests that must meet the objectives, between 0 and 1"`
}

// Favour is the measure that transfers of weights optimise first.
type Favour string

// The measures.
const (
	TimeToReplicas Favour = "TimeToReplicas" // reads up to OriginCopies copies from the origin
	OriginBytes    Favour = "OriginBytes"    // reads one copy from the origin
	Inherit        Favour = "Inherit"        // only for a service: uses Transfers.Favour
)

// Values returns the names of the measures.
func (Favour) Values() []string {
	return []string{string(TimeToReplicas), string(OriginBytes), string(Inherit)}
}

// Transfers configures the sources of weights and the limits of their transfer.
type Transfers struct {
	Favour               Favour                    `help:"time to replicas, with up to OriginCopies; or bytes of the origin, with one copy"`
	OriginAddress        string                    `help:"URL of the origin, with an IP number"`
	StoreAddress         string                    `help:"URL of the rate-limited weight store, with an IP number"`
	OriginRate           identifier.BytesPerSecond `help:"limit of all reads from the origin; 0 means none"`
	ThinLinkRate         identifier.BytesPerSecond `help:"what one link between two regions carries; 0 means no limit"`
	InstanceUploadRate   identifier.BytesPerSecond `help:"limit of chunks that one instance sends; 0 means none"`
	InstanceDownloadRate identifier.BytesPerSecond `help:"limit of chunks that one instance receives; 0 means none"`
	OriginCopies         int                       `help:"copies of one release that may be read from the origin"`
}

const (
	defaultDeadline           = 30 * time.Second
	defaultQueueLimit         = 64
	defaultRetryBudget        = 0.1
	defaultMaximumConcurrency = 64
	defaultFirstToken         = 2 * time.Second
	defaultBetweenTokens      = 200 * time.Millisecond
	defaultReadyWithin        = 5 * time.Minute
	defaultTarget             = 0.99
	defaultOriginCopies       = 4
	defaultThinLinkRate       = 20e6 / 8 // bytes per second
)

// New returns version 0, which has no objects except the default transfers.
func New() Configuration {
	return Configuration{Objects: Objects{Transfers: Transfers{
		Favour:       TimeToReplicas,
		ThinLinkRate: defaultThinLinkRate,
		OriginCopies: defaultOriginCopies,
	}}}
}

// SetDefaults sets the defaults of a new organisation, which its patch can
// override.
func (o *Organisation) SetDefaults() {
	o.Share = 1
}

// SetDefaults sets the defaults of a new service, which its patch can override.
func (s *Service) SetDefaults() {
	s.IdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}
	s.Favour = Inherit
	s.Deadline = defaultDeadline
	s.QueueLimit = defaultQueueLimit
	s.RetryBudget = defaultRetryBudget
	s.Concurrency = Concurrency{Minimum: 1, Maximum: defaultMaximumConcurrency}
	s.Objectives = Objectives{
		FirstToken:    defaultFirstToken,
		BetweenTokens: defaultBetweenTokens,
		ReadyWithin:   defaultReadyWithin,
		Target:        defaultTarget,
	}
}

// Print renders the objects as TOML, in the form of a patch.
func (c Configuration) Print() []byte {
	return parser.Format(c.Objects)
}

// Digest returns a digest of the objects; equal objects have equal digests. Two
// configurations with the same version and different digests must never exist.
func (c Configuration) Digest() identifier.Digest {
	text, err := json.Marshal(c.Objects) // Marshal sorts the keys of maps
	if err != nil {
		return identifier.Digest{} // unreachable: decoding refuses values that JSON can't represent
	}
	return sha256.Sum256(text)
}
