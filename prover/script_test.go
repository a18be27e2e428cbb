package prover_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the command lines as an operator types them.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+":"+env.Getenv("PATH"))
			return nil
		},
	})
}
