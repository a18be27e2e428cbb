// Package commander implements the operators' command line, celeryvalve.
//
// Every command prints text for people or, with --output json, one JSON value
// for programs. Errors go to standard error. The exit codes are: 0 done, 1 failed,
// 2 invalid input or usage, 3 conflict, 4 denied, 5 not found, 6 unavailable.
//
// # Usage
//
//	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr, clockwork.NewRealClock()))
package commander
