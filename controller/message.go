package controller

import (
	"time"

	"celeryvalve/configurer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Instant is a moment in nanoseconds since the Unix epoch.
type Instant int64

// Time returns the moment as the standard type, in UTC.
func (i Instant) Time() time.Time {
	return time.Unix(0, int64(i)).UTC()
}

// after returns the moment d later.
func (i Instant) after(d time.Duration) Instant {
	return i + Instant(d)
}

// Index is a position in the log.
type Index uint64

// Rejected answers a command that State can't carry out. Nothing changed.
type Rejected struct {
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// Err returns the rejection as an error.
func (r *Rejected) Err() error {
	return explainer.New(r.Kind, r.Problem, r.Remedy)
}

// SubmitPatch changes the configuration. The answer is a PatchAnswer.
type SubmitPatch struct {
	Patch configurer.Patch
}

// PatchOutcome is what became of a patch.
type PatchOutcome string

// The outcomes of patches.
const (
	Accepted PatchOutcome = "Accepted" // it is the version of the answer
	Conflict PatchOutcome = "Conflict" // its base is not the current version
	Refused  PatchOutcome = "Refused"  // it has faults
)

// PatchAnswer answers SubmitPatch, and answers a resent patch again.
type PatchAnswer struct {
	ID      identifier.PatchID
	Outcome PatchOutcome
	// Version is the accepted version, or the current one.
	Version identifier.ConfigurationVersion
	// Changes are those of an accepted patch. For a Conflict they lead from the
	// patch's base to Version.
	Changes   []configurer.Change
	Truncated bool    // Changes are not all
	Winner    Summary // of a Conflict: the patch that was accepted on the same base
	Faults    string  // of a Refused patch, one a line
	Resent    bool    // the patch was answered before
}

// Summary says which patch made a version.
type Summary struct {
	Version  identifier.ConfigurationVersion
	ID       identifier.PatchID
	Operator identifier.Operator
	At       Instant
}

// Announce makes an upstream a member, or renews what is known of it. The
// answer is an AnnounceAnswer, or Rejected as Fenced for an old incarnation.
type Announce struct {
	Upstream         identifier.Upstream
	Incarnation      identifier.Incarnation
	Instance         identifier.Instance
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	Address          string // of the agent, for the system's other processes
	Service          identifier.Service
	ChecksFencing    bool
	ReportsLoad      bool
}

// AnnounceAnswer grants the agent the right to give its upstream orders.
type AnnounceAnswer struct {
	Token identifier.FencingToken
	// LeaseDuration runs from when the agent sent its last answered heartbeat.
	LeaseDuration     time.Duration
	HeartbeatInterval time.Duration
	// OrdersAfter is how long the agent waits before its first order, since an
	// earlier giver may still hold a lease on an upstream that checks no tokens.
	OrdersAfter time.Duration
}

// Ready says what a member serves, or that it serves nothing now. The answer is
// a MemberAnswer.
type Ready struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Serving     bool
	Model       identifier.Model
	Version     identifier.WeightVersion
	Adapters    map[identifier.Adapter]identifier.WeightVersion
}

// Leave says that a member takes no new work and, with Gone, that it has ended.
// The answer is a MemberAnswer.
type Leave struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Gone        bool
}

// Expire ends the membership of an upstream that wasn't heard for its lease. It
// changes nothing when the token is not the current one. The answer is a
// MemberAnswer.
type Expire struct {
	Upstream identifier.Upstream
	Token    identifier.FencingToken
}

// MemberAnswer answers commands about a member.
type MemberAnswer struct {
	Changed bool // false: the command was about an earlier state
}

// Claim asks for the right to run a non-idempotent request once, as one attempt
// on one incarnation of an upstream. The answer is a ClaimAnswer.
type Claim struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	BodyDigest   identifier.Digest
	Request      identifier.RequestID
	Attempt      identifier.AttemptID
	Upstream     identifier.Upstream
	Incarnation  identifier.Incarnation
	Entry        string // name of the process that asks
	// Replaces is the token of a claim whose agent confirmed that the attempt
	// was not seen and is refused from now on. Zero for a first claim.
	Replaces identifier.FencingToken
}

// ClaimStatus is the answer to a claim.
type ClaimStatus string

// The answers to a claim.
const (
	Granted    ClaimStatus = "Granted"    // the attempt may start under Token
	InProgress ClaimStatus = "InProgress" // the attempt of the answer holds the claim
	Settled    ClaimStatus = "Settled"    // the key has its outcome
	Mismatch   ClaimStatus = "Mismatch"   // the key was used with another body
	Full       ClaimStatus = "Full"       // no more claims can be kept; try after RetryAfter
	Fenced     ClaimStatus = "Fenced"     // the upstream or the attempt is no longer current
)

// ClaimAnswer answers a Claim. The holder's fields are those of the attempt that
// holds or held the claim.
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
	// AnswerDropped: the outcome is kept, and its answer was too large or too old.
	AnswerDropped bool
	RetryAfter    time.Duration
}

// Outcome is what became of a claimed request.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "Completed" // it ran and its answer is whole
	Failed    Outcome = "Failed"    // it ran and failed
	Unknown   Outcome = "Unknown"   // it may have run
	NotRun    Outcome = "NotRun"    // it provably didn't and won't run: frees the claim
)

// Settle ends a claim under its token. Completed and Failed are final. Unknown
// gives way to Completed or Failed under the same token, and never to NotRun.
// The answer is a SettleAnswer.
type Settle struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	Token        identifier.FencingToken
	Outcome      Outcome
	Answer       []byte // for resends; larger than MaximumAnswer is not kept
}

// SettleAnswer tells the outcome that the claim has now.
type SettleAnswer struct {
	Changed bool // false: the token or the outcome came too late
	Outcome Outcome
}

// Chunks is a range of a manifest's chunks.
type Chunks struct {
	First int
	Count int
}

// LeaseOrigin asks for the right to read chunks of one copy from the origin. The
// answer is an OriginAnswer.
type LeaseOrigin struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	ID          uint64 // numbers the requests of one incarnation; a resend bears the same
	Manifest    identifier.Digest
	Chunks      Chunks
	Copy        int                  // from 0, below the configured copies
	Size        identifier.ByteCount // of the chunks
	TotalSize   identifier.ByteCount // of the manifest's weights
	Again       bool                 // they were granted before, and no member has them
}

// ReturnOrigin gives back a lease of which nothing was or will be read. The
// answer is a MemberAnswer.
type ReturnOrigin struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	ID          uint64 // of the LeaseOrigin
	Manifest    identifier.Digest
	Chunks      Chunks
	Copy        int
}

// OriginStatus is the answer to LeaseOrigin.
type OriginStatus string

// The answers to LeaseOrigin.
const (
	OriginGranted   OriginStatus = "Granted"
	OriginHeld      OriginStatus = "Held"      // Holder was granted the chunks
	OriginExhausted OriginStatus = "Exhausted" // the budget is used; ask after RetryAfter
	OriginRefused   OriginStatus = "Refused"   // nobody wants the manifest, or the request contradicts itself
)

// OriginAnswer answers LeaseOrigin.
type OriginAnswer struct {
	Status OriginStatus
	// LeaseDuration runs from when the request was sent. Nothing may be read after it.
	LeaseDuration time.Duration
	Holder        identifier.Upstream
	RetryAfter    time.Duration
}

// Fingerprint identifies requests that are alike.
type Fingerprint uint64

// ReportCrash says which requests were in flight when an upstream crashed. A
// crash counts once, whoever reports it. The answer is a QuarantineAnswer.
type ReportCrash struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Crash       uint64 // numbers the crashes of one incarnation
	InFlight    []InFlight
}

// InFlight is a request that ran when its upstream crashed.
type InFlight struct {
	Fingerprint  Fingerprint
	Organisation identifier.Organisation
	Service      identifier.Service
}

// ClearSuspects takes fingerprints off the list: an operator's decision, or
// requests that ran alone to their end. The answer is a QuarantineAnswer.
type ClearSuspects struct {
	Fingerprints []Fingerprint
	Operator     identifier.Operator
}

// QuarantineAnswer tells how many suspects there are and how many are refused.
type QuarantineAnswer struct {
	Suspects int
	Refused  int
}

// Heartbeat keeps the lease of a member. It goes to the leader's Keeper and not
// into the log.
type Heartbeat struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Renewal       Renewal
	LeaseDuration time.Duration // of a Renewed lease
}
