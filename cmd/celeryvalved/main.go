// Command celeryvalved is the daemon. Its settings choose one or more of the roles
// entry, control replica and agent; without a choice it runs all three.
// celeryvalved --help lists its flags.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"celeryvalve/assembler"
)

func main() {
	// Until the daemon reloads its settings on SIGHUP, the signal must not end it.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(assembler.Run(os.Args[1:], os.Stdout, os.Stderr))
}
