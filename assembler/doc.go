// Package assembler builds the daemon from its settings and runs it until it is
// told to stop and has finished what it was doing.
//
// # Usage
//
//	os.Exit(assembler.Run(os.Args[1:], os.Stdout, os.Stderr))
package assembler
