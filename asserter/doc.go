// Package asserter checks the invariants of the system inside the program.
//
// A reducer calls Check where an invariant could break. In tests the asserter
// panics, which stops the test. In production it logs and counts, and Check
// returns false so that the caller fails safe.
//
// # Usage
//
//	if !a.Check(asserter.OriginBudget, read <= leased, "origin reads exceed the lease") {
//		return nil // fail safe: read nothing more
//	}
package asserter
