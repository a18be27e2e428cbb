package prover_test

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// TestScripts runs the command lines as an operator types them.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../docs/operators/examples")
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("PATH", binaries+":"+env.Getenv("PATH"))
			return nil
		},
	})
}
