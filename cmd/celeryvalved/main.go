// Command celeryvalved is the daemon. Its settings choose one or more of the roles
// entry, control replica and agent; without a choice it runs all three.
// celeryvalved --help lists its flags.
package main

import (
	"os"

	"celeryvalve/assembler"
)

func main() {
	os.Exit(assembler.Run(os.Args[1:], os.Stdout, os.Stderr))
}
