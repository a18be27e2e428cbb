// Command celeryvalved is the daemon.
package main

import (
	"os"

	"celeryvalve/assembler"
)

func main() {
	os.Exit(assembler.Run(os.Args[1:], os.Stdout, os.Stderr))
}
