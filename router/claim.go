package router

import (
	"context"
	"time"

	"celeryvalve/identifier"
)

// ClaimRequest asks control for the right to run a non-idempotent key once, as
// one attempt on one upstream. Control answers a repeated request for the same
// attempt with the same token.
type ClaimRequest struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	BodyDigest   identifier.Digest
	Request      identifier.RequestID
	Attempt      identifier.AttemptID
	Upstream     identifier.Upstream
	Incarnation  identifier.Incarnation
	// Replaces is the token of a claim whose attempt is confirmed as refused. It
	// is zero for a first claim. Control grants a new token only while the claim
	// is still held under Replaces.
	Replaces identifier.FencingToken
}

// ClaimStatus is the answer of control to a claim.
type ClaimStatus string

// The answers to a claim.
const (
	// Granted: the attempt may be handed over under Token.
	Granted ClaimStatus = "Granted"
	// Held: another attempt holds the claim; its holder is named.
	Held ClaimStatus = "Held"
	// Stored: the key has its outcome.
	Stored ClaimStatus = "Stored"
	// Mismatched: the key was used with another body.
	Mismatched ClaimStatus = "Mismatched"
	// Fenced: the upstream or the attempt is no longer current. Nothing was granted.
	Fenced ClaimStatus = "Fenced"
	// Unavailable: no quorum answered in time.
	Unavailable ClaimStatus = "Unavailable"
)

// ClaimAnswer is what control decided. The holder's fields name the attempt that
// holds the claim under Token.
type ClaimAnswer struct {
	Status      ClaimStatus
	Token       identifier.FencingToken
	Request     identifier.RequestID
	Attempt     identifier.AttemptID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Answer      StoredAnswer
	// RetryAfter is set where control can't take the claim now.
	RetryAfter time.Duration
}

// Settlement ends a claim under its token. Control keeps Completed and Failed
// with their answer, keeps Unknown until a Completed or Failed under the same
// token replaces it, and frees the key at NotRun. A settlement under a token
// that no longer holds the claim changes nothing.
type Settlement struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          identifier.IdempotencyKey
	Token        identifier.FencingToken
	Answer       StoredAnswer
}

// Claimer reaches control's claims.
type Claimer interface {
	Claim(ctx context.Context, request ClaimRequest) (ClaimAnswer, error)
	Settle(ctx context.Context, settlement Settlement) error
}
