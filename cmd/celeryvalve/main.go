// Command celeryvalve is the operators' command-line client of the control plane.
// Package commander describes its output and exit codes; celeryvalve --help lists
// its commands.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"

	"celeryvalve/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr, clockwork.NewRealClock()))
}
