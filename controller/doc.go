// Package controller is the replicated state machine of control: the
// configuration and its history, claims on non-idempotent requests, the members
// with their fencing tokens, leases on reads of the origin, and the quarantine of
// requests that crash upstreams.
//
// State is deterministic. It changes by Apply alone, which depends on nothing
// but the commands and the times that the log gives it; times that run backwards
// after a change of leader count as standing still. Every command may be applied
// again: a resent patch gets its first answer, a resent claim its token.
//
// The soft state of the leader, which members were heard lately, is not in the
// log. Keeper holds it and proposes to expire a member whose lease ended.
//
// # Bounds
//
// Everything that State keeps is bounded by the constants of this package: the
// answers of patches (PatchAnswersKept), versions of the configuration
// (HistoryKept), claims (MaximumClaims, ClaimRetention), stored answers of
// requests (AnswerBudget) and suspects (MaximumSuspects). They are part of the
// state machine, so all replicas must run with the same ones.
//
// # Usage
//
//	state := controller.New(assert)
//	data, err := controller.EncodeCommand(&controller.SubmitPatch{Patch: patch})
//	answer := state.Apply(index, at, data) // *controller.PatchAnswer
//	cfg := state.Configuration()
package controller
