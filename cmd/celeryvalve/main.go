// Command celeryvalve is the operators' client.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"

	"celeryvalve/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr, clockwork.NewRealClock()))
}
