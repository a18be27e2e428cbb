package controller_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomised tests unless the command line sets
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
