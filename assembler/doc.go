// Package assembler builds the daemon from its settings and runs it.
//
// It constructs and connects the components of the roles that the settings give the
// process: entry, control and agent. On SIGTERM or SIGINT it drains the process:
// requests under way are finished, unless the drain deadline of the settings cuts them
// off, and then the components are stopped.
//
// # Usage
//
//	os.Exit(assembler.Run(os.Args[1:], os.Stdout, os.Stderr))
package assembler
