package asserter

import "fmt"

// Invariant names one property that must always hold.
type Invariant string

// The invariants of the system.
const (
	// VerifiedWeights: an engine serves only weights of which every byte was verified
	// against one pinned manifest.
	VerifiedWeights Invariant = "VerifiedWeights"
	// WholeAnswer: an answer is forwarded complete, once, and only to its own request.
	WholeAnswer Invariant = "WholeAnswer"
	// NotRunIsTrue: NotRun is never reported for an attempt that has started or may
	// still start.
	NotRunIsTrue Invariant = "NotRunIsTrue"
	// AtMostOnce: a non-idempotent request starts at most once per idempotency key.
	AtMostOnce Invariant = "AtMostOnce"
	// LeavingStartsNothing: an upstream that is leaving starts no further requests.
	LeavingStartsNothing Invariant = "LeavingStartsNothing"
	// DrainCompletes: a draining process exits only after its last request has ended.
	DrainCompletes Invariant = "DrainCompletes"
	// VersionsOnlyRise: an accepted version is never lost, replaced or reverted.
	VersionsOnlyRise Invariant = "VersionsOnlyRise"
	// OneOrderGiver: at most one agent sends orders to an upstream under each fencing
	// token, and tokens never decrease.
	OneOrderGiver Invariant = "OneOrderGiver"
	// OriginBudget: reads from the origin never exceed the leased budget.
	OriginBudget Invariant = "OriginBudget"
)

// Asserter handles the checks of invariants.
type Asserter interface {
	// Check returns ok. If ok is false, it first reports the violation with the detail.
	Check(invariant Invariant, ok bool, detail string) bool
}

// Strict panics if an invariant is violated. It is for tests.
type Strict struct{}

// Check panics when ok is false.
func (Strict) Check(invariant Invariant, ok bool, detail string) bool {
	if !ok {
		panic(fmt.Sprintf("invariant %s violated: %s", invariant, detail))
	}
	return true
}

// Reporting calls Report if an invariant is violated, and leaves it to the caller to fail
// safe.
type Reporting struct {
	Report func(invariant Invariant, detail string)
}

// Check calls Report when ok is false.
func (r Reporting) Check(invariant Invariant, ok bool, detail string) bool {
	if !ok {
		r.Report(invariant, detail)
	}
	return ok
}
