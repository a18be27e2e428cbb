// Package explainer makes errors of a typed kind whose message names the
// remedy, and lists of faults with their positions.
//
// # Usage
//
//	err := explainer.New(explainer.Conflict, "base 4 is not the current version 6",
//		"read version 6 and submit the patch against it")
//	if explainer.KindOf(err) == explainer.Conflict { ... }
//
//	var faults explainer.Faults
//	faults.Add(explainer.Fault{File: "a.toml", Line: 3, Path: "Entry.Listen",
//		Problem: "address is not an IP number", Remedy: "write 127.0.0.1:8080"})
//	return faults.Err()
package explainer
