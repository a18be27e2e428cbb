package router

import (
	"context"
	"time"

	"celeryvalve/identifier"
)

// ClaimRequest asks the control plane for the right to run a non-idempotent key
// once, as one attempt on one upstream. The control plane answers a repeated
// request for the same attempt with the same token.
type ClaimRequest struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	BodyDigest   identifier.Digest
	Request      identifier.RequestID
	Attempt      identifier.AttemptID
	Upstream     identifier.Upstream
	Incarnation  identifier.Incarnation
	// Replaces is the token of a claim whose attempt is confirmed as refused. It is
	// zero for a first claim. The control plane grants a new token only while the
	// claim is still held under Replaces.
	Replaces identifier.FencingToken
}

// ClaimStatus is the control plane's answer to a claim.
type ClaimStatus string

// The answers to a claim.
const (
	// Granted: the attempt may be handed over under Token.
	Granted ClaimStatus = "Granted"
	// Held: another attempt holds the claim. The answer names that attempt.
	Held ClaimStatus = "Held"
	// Stored: the outcome of the key is known. The answer contains it.
	Stored ClaimStatus = "Stored"
	// Mismatched: the key was used with another body.
	Mismatched ClaimStatus = "Mismatched"
	// Fenced: the upstream or the attempt is no longer current. Nothing was granted.
	Fenced ClaimStatus = "Fenced"
	// Unavailable: no quorum answered in time.
	Unavailable ClaimStatus = "Unavailable"
)

// ClaimAnswer is the control plane's decision on a claim. Request, Attempt,
// Upstream and Incarnation describe the attempt that holds the claim under Token.
type ClaimAnswer struct {
	Status      ClaimStatus
	Token       identifier.FencingToken
	Request     identifier.RequestID
	Attempt     identifier.AttemptID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Answer      StoredAnswer
	// RetryAfter is set when the control plane can't take the claim now.
	RetryAfter time.Duration
}

// Settlement ends a claim under its token. The control plane keeps Completed and
// Failed with their answer, keeps Unknown until a Completed or Failed under the
// same token replaces it, and frees the key at NotRun. A settlement under a token
// that no longer holds the claim changes nothing.
type Settlement struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	Token        identifier.FencingToken
	Answer       StoredAnswer
}

// Claimer sends claims and settlements to the control plane.
type Claimer interface {
	Claim(ctx context.Context, request ClaimRequest) (ClaimAnswer, error)
	Settle(ctx context.Context, settlement Settlement) error
}
