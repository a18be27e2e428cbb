// Package asserter checks the system's invariants while the program runs.
//
// Code that could violate an invariant calls Check first. In tests the asserter panics,
// which fails the test. In production it calls a function that logs and counts the
// violation, and Check returns false, so that the caller can leave out the unsafe step.
//
// # Usage
//
//	if !a.Check(asserter.OriginBudget, read <= leased, "origin reads exceed the lease") {
//		return nil // fail safe: read nothing more
//	}
package asserter
