package controller

import (
	"celeryvalve/identifier"
)

// ClaimState is the state of a claim.
type ClaimState string

// The states of claims.
const (
	ClaimHeld    ClaimState = "Held"    // an attempt holds the claim and may be running
	ClaimSettled ClaimState = "Settled" // the outcome is Completed, Failed or Unknown
	ClaimFree    ClaimState = "Free"    // no earlier attempt ran or will run: the key can be claimed
)

// ClaimRecord is the stored claim on one idempotency key.
type ClaimRecord struct {
	Claim
	State         ClaimState
	Token         identifier.FencingToken
	HolderToken   identifier.FencingToken // the upstream's member token at the time of the grant
	At            Instant                 // time of the grant
	Outcome       Outcome
	Answer        []byte
	AnswerDropped bool
	SettledAt     Instant
	Sequence      uint64                 // orders the settlements of all claims; 0 while the claim is held
	Freed         []identifier.AttemptID // attempts that must not hold the claim again, latest last
}

// canSettle reports whether the claim may be settled with the outcome in its
// current state.
func (r *ClaimRecord) canSettle(outcome Outcome) bool {
	switch outcome {
	case Completed, Failed:
		return r.State == ClaimHeld || (r.State == ClaimSettled && r.Outcome == Unknown)
	case Unknown, NotRun:
		return r.State == ClaimHeld
	default:
		return false
	}
}

// outcome returns the current outcome, which is empty while the claim is held.
func (r *ClaimRecord) outcome() Outcome {
	if r.State == ClaimFree {
		return NotRun
	}
	return r.Outcome
}

func (r *ClaimRecord) answer(status ClaimStatus) *ClaimAnswer {
	return &ClaimAnswer{
		Status:        status,
		Token:         r.Token,
		Request:       r.Request,
		Attempt:       r.Attempt,
		Upstream:      r.Upstream,
		Incarnation:   r.Incarnation,
		Entry:         r.Entry,
		Outcome:       r.Outcome,
		Answer:        r.Answer,
		AnswerDropped: r.AnswerDropped,
	}
}
