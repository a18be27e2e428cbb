package controller

import (
	"time"

	"celeryvalve/configurer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Instant is a point in time in nanoseconds since the Unix epoch.
type Instant int64

// Time returns the instant as a time.Time in UTC.
func (i Instant) Time() time.Time {
	return time.Unix(0, int64(i)).UTC()
}

// after returns the instant that is d later.
func (i Instant) after(d time.Duration) Instant {
	return i + Instant(d)
}

// Index is a position in the log.
type Index uint64

// Rejected is the answer to a command that State can't carry out. The command has
// changed nothing.
type Rejected struct {
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// Err returns the rejection as an error.
func (r *Rejected) Err() error {
	return explainer.New(r.Kind, r.Problem, r.Remedy)
}

// SubmitPatch submits a patch to the configuration. The answer is a PatchAnswer.
type SubmitPatch struct {
	Patch configurer.Patch
}

// PatchOutcome is the result of a patch.
type PatchOutcome string

// The outcomes of patches.
const (
	Accepted PatchOutcome = "Accepted" // it created the version of the answer
	Conflict PatchOutcome = "Conflict" // its base is not the current version
	Refused  PatchOutcome = "Refused"  // it is not valid
)

// PatchAnswer is the answer to SubmitPatch. A resent patch gets the same one again,
// with Resent set.
type PatchAnswer struct {
	ID      identifier.PatchID
	Outcome PatchOutcome
	// Version is the version that the patch created if it was accepted, and the
	// current one otherwise.
	Version identifier.ConfigurationVersion
	// Changes are the changes that an accepted patch made. For a Conflict they are
	// the changes from the patch's base to Version.
	Changes   []configurer.Change
	Truncated bool    // Changes is not complete
	Winner    Summary // for a Conflict: the patch that was accepted on the same base
	Faults    string  // for a Refused patch: its faults, one per line
	Resent    bool    // the patch was answered before
}

// Summary describes the patch that created a version.
type Summary struct {
	Version  identifier.ConfigurationVersion
	ID       identifier.PatchID
	Operator identifier.Operator
	At       Instant
}

// Announce makes an upstream a member, or updates the member's data. The answer is
// an AnnounceAnswer, or a Rejected of kind Fenced for an old incarnation.
type Announce struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Instance         identifier.Instance
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	Address          string // of the agent, for connections from other processes
	Service          identifier.Service
	ChecksFencing    bool // the upstream rejects orders with an old fencing token
	ReportsLoad      bool
}

// AnnounceAnswer grants the agent a lease under which it may send orders to its
// upstream.
type AnnounceAnswer struct {
	Token identifier.FencingToken
	// LeaseDuration is counted from the time at which the agent sent the last
	// heartbeat that was answered.
	LeaseDuration     time.Duration
	HeartbeatInterval time.Duration
	// OrdersAfter is how long the agent must wait before its first order. It is not
	// zero if an earlier agent may still hold a lease on an upstream that does not
	// check fencing tokens.
	OrdersAfter time.Duration
}

// Ready reports whether a member is serving, and which model, version and adapters.
// The answer is a MemberAnswer.
type Ready struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Serving     bool
	Model       identifier.Model
	Version     identifier.WeightVersion
	Adapters    map[identifier.Adapter]identifier.WeightVersion
}

// Leave reports that a member accepts no new requests. With Gone it ends the
// membership. The answer is a MemberAnswer.
type Leave struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Gone        bool
}

// Expire ends the membership of an upstream whose lease has ended without a
// heartbeat. It changes nothing if the token is not the current one. The answer is
// a MemberAnswer.
type Expire struct {
	Upstream identifier.Upstream
	Token    identifier.FencingToken
}

// MemberAnswer is the answer to commands about a member.
type MemberAnswer struct {
	Changed bool // false if the command had no effect, for instance because it was outdated
}

// Claim requests the right to run a non-idempotent request once, as one attempt on
// one incarnation of an upstream. At most one attempt at a time holds the claim on
// a key. The answer is a ClaimAnswer.
type Claim struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	BodyDigest   identifier.Digest // of the request's method, path and body
	Request      identifier.RequestID
	Attempt      identifier.AttemptID
	Upstream     identifier.Upstream
	Incarnation  identifier.Incarnation
	Entry        string // name of the entry process that sends the claim
	// Replaces is the token of a held claim that this one replaces. Its agent must
	// have confirmed that it never received the attempt and will refuse it from now
	// on. It is zero for a first claim.
	Replaces identifier.FencingToken
}

// ClaimStatus is the result of a claim.
type ClaimStatus string

// The results of a claim.
const (
	Granted    ClaimStatus = "Granted"    // the attempt may start under Token
	InProgress ClaimStatus = "InProgress" // another attempt, that of the answer, holds the claim
	Settled    ClaimStatus = "Settled"    // the key has an outcome
	Mismatch   ClaimStatus = "Mismatch"   // the key was used for a request with another BodyDigest
	Full       ClaimStatus = "Full"       // no more claims can be stored; retry after RetryAfter
	Fenced     ClaimStatus = "Fenced"     // the upstream, the attempt or the claim to replace is no longer current
)

// ClaimAnswer is the answer to a Claim. Token, Request, Attempt, Upstream,
// Incarnation and Entry are those of the attempt that holds the claim or held it
// last.
type ClaimAnswer struct {
	Status      ClaimStatus
	Token       identifier.FencingToken
	Request     identifier.RequestID
	Attempt     identifier.AttemptID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Entry       string
	Outcome     Outcome
	Answer      []byte
	// AnswerDropped means that the answer is not stored, only the outcome, because
	// the answer was too large or had to make room for newer ones.
	AnswerDropped bool
	RetryAfter    time.Duration
}

// Outcome is the outcome of a claimed request.
type Outcome string

// The outcomes of claimed requests.
const (
	Completed Outcome = "Completed" // it ran and its answer is complete
	Failed    Outcome = "Failed"    // it ran and failed
	Unknown   Outcome = "Unknown"   // it may have run
	NotRun    Outcome = "NotRun"    // it has not run and never will: frees the claim
)

// Settle sets the outcome of a claim under its token. Completed and Failed are
// final. Unknown may later become Completed or Failed under the same token, but
// never NotRun. The answer is a SettleAnswer.
type Settle struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	Token        identifier.FencingToken
	Outcome      Outcome
	Answer       []byte // for resends; not stored if it is larger than MaximumAnswerSize
}

// SettleAnswer is the answer to a Settle.
type SettleAnswer struct {
	Changed bool    // false if the token is not current, or the outcome can't change any more
	Outcome Outcome // the current outcome; empty while the claim is held or if it is not stored
}

// Chunks is a range of chunks of a manifest.
type Chunks struct {
	First int
	Count int
}

// LeaseOrigin requests a lease to read chunks of one copy from the origin. The
// answer is an OriginAnswer.
type LeaseOrigin struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	ID          uint64 // number of the request within the incarnation; a resend has the same one
	Manifest    identifier.Digest
	Chunks      Chunks
	Copy        int                  // from 0 up to the configured number of copies, exclusive
	Size        identifier.ByteCount // of the chunks
	TotalSize   identifier.ByteCount // of all files of the manifest
	Again       bool                 // the chunks were granted before and were lost: no member has them
}

// ReturnOrigin returns a lease under which nothing was read and nothing will be.
// The answer is a MemberAnswer.
type ReturnOrigin struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	ID          uint64 // of the LeaseOrigin
	Manifest    identifier.Digest
	Chunks      Chunks
	Copy        int
}

// OriginStatus is the result of LeaseOrigin.
type OriginStatus string

// The results of LeaseOrigin.
const (
	OriginGranted   OriginStatus = "Granted"
	OriginHeld      OriginStatus = "Held"      // some of the chunks were granted to Holder
	OriginExhausted OriginStatus = "Exhausted" // the budget is used up; retry after RetryAfter
	OriginRefused   OriginStatus = "Refused"   // the sender is not a member, the manifest is not in use, or the request is not valid
)

// OriginAnswer is the answer to LeaseOrigin.
type OriginAnswer struct {
	Status OriginStatus
	// LeaseDuration is counted from the time at which the request was sent. Nothing
	// may be read after the lease has ended.
	LeaseDuration time.Duration
	Holder        identifier.Upstream
	RetryAfter    time.Duration
}

// Heartbeat renews the lease of a member. It is handled by the leader's LeaseTracker and
// is not written to the log.
type Heartbeat struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// HeartbeatAnswer is the answer to a Heartbeat.
type HeartbeatAnswer struct {
	Renewal       RenewalStatus
	LeaseDuration time.Duration // set if the lease was renewed
}
