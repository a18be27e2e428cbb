package controller

import (
	"celeryvalve/identifier"
)

// ClaimState is where a claim stands.
type ClaimState string

// The states of claims.
const (
	ClaimHeld    ClaimState = "Held"    // the attempt may be running
	ClaimSettled ClaimState = "Settled" // the key has its outcome
	ClaimFree    ClaimState = "Free"    // no attempt ran or will
)

// ClaimRecord is the claim on one key.
type ClaimRecord struct {
	Claim
	State         ClaimState
	Token         identifier.FencingToken
	HolderToken   identifier.FencingToken // of the upstream, when the claim was granted
	At            Instant                 // of the grant
	Outcome       Outcome
	Answer        []byte
	AnswerDropped bool
	SettledAt     Instant
	Sequence      uint64                 // of the settlement, over all claims
	Freed         []identifier.AttemptID // latest last
}

// accepts reports whether the outcome may follow what is known.
func (r *ClaimRecord) accepts(outcome Outcome) bool {
	switch outcome {
	case Completed, Failed:
		return r.State == ClaimHeld || (r.State == ClaimSettled && r.Outcome == Unknown)
	case Unknown, NotRun:
		return r.State == ClaimHeld
	default:
		return false
	}
}

// outcome returns what is known: nothing while the claim is held.
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
