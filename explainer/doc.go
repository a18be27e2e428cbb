// Package explainer provides errors that have a kind, a problem and a remedy, and lists
// of all the faults of an input with their positions.
//
// Callers decide by the kind how to react. The message contains the remedy, so that an
// operator who reads it knows what to do.
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
