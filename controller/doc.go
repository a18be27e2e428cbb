// Package controller implements the replicated state machine of the control plane.
// It stores the configuration and its history, claims on non-idempotent requests,
// the members with their fencing tokens, leases on reads of the origin, and the
// quarantine of requests that crash upstreams.
//
// State is deterministic. It changes only by Apply and Restore, and Apply depends
// only on the commands and times of the log. A time before the latest one, as may
// occur after a change of leader, does not move the state's clock back. A command
// may be applied again: a resent patch gets its first answer, and a resent claim
// the same token.
//
// When the leader last received a heartbeat of each member is soft state and not in
// the log. LeaseTracker tracks it, and proposes to expire a member whose lease has ended.
//
// # Bounds
//
// Everything that State stores is bounded by the constants of this package: answers
// to patches (MaximumPatchAnswers), versions of the configuration (MaximumHistory),
// claims (MaximumClaims, ClaimRetention), stored answers to requests (AnswerBudget)
// and suspects (MaximumSuspects). The constants are part of the state machine, so
// all replicas must use the same values.
//
// # Usage
//
//	state := controller.New(assert)
//	data, err := controller.EncodeCommand(&controller.SubmitPatch{Patch: patch})
//	answer := state.Apply(index, at, data) // *controller.PatchAnswer
//	cfg := state.Configuration()
package controller
