// Package commander is the operators' command line.
//
// Every command prints text for people or, with --output json, one JSON value
// for programs. The exit code tells the kind of a failure: 0 done, 1 failed,
// 2 bad input or usage, 3 conflict, 4 denied, 5 not found, 6 unavailable.
//
// # Usage
//
//	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr, clockwork.NewRealClock()))
package commander
