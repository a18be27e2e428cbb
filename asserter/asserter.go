package asserter

import "fmt"

// Invariant names one property that must always hold.
type Invariant string

// The invariants of the system.
const (
	// VerifiedWeights: an engine serves only weights whose every byte was
	// verified against one pinned manifest.
	VerifiedWeights Invariant = "VerifiedWeights"
	// WholeAnswer: an answer is passed on whole, to its own request, once.
	WholeAnswer Invariant = "WholeAnswer"
	// NotRunIsTrue: NotRun is never said of an attempt that started or may start.
	NotRunIsTrue Invariant = "NotRunIsTrue"
	// AtMostOnce: a non-idempotent key starts at most once.
	AtMostOnce Invariant = "AtMostOnce"
	// LeavingStartsNothing: a leaving upstream starts nothing new.
	LeavingStartsNothing Invariant = "LeavingStartsNothing"
	// DrainCompletes: a draining process ends only after its last request.
	DrainCompletes Invariant = "DrainCompletes"
	// VersionsOnlyRise: an accepted version is never lost, replaced or undone.
	VersionsOnlyRise Invariant = "VersionsOnlyRise"
	// OneOrderGiver: one giver of orders per upstream and token; tokens only rise.
	OneOrderGiver Invariant = "OneOrderGiver"
	// OriginBudget: origin reads stay inside the leased budget.
	OriginBudget Invariant = "OriginBudget"
)

// Asserter is told about each check of an invariant.
type Asserter interface {
	// Check returns ok. Where ok is false the asserter reports the breach first.
	Check(invariant Invariant, ok bool, detail string) bool
}

// Strict panics at a breach. It is for tests.
type Strict struct{}

// Check panics when ok is false.
func (Strict) Check(invariant Invariant, ok bool, detail string) bool {
	if !ok {
		panic(fmt.Sprintf("invariant %s broken: %s", invariant, detail))
	}
	return true
}

// Reporting calls Report at a breach and lets the caller fail safe.
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
