package prover_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/configurer"
)

// TestExamplePatchesAreAccepted applies the first patches of the operators' pages.
func TestExamplePatchesAreAccepted(t *testing.T) {
	for _, file := range []string{"callback-services.toml", "mezghani-services.toml"} {
		data, err := os.ReadFile("../docs/operators/examples/" + file)
		require.NoError(t, err)
		patch, err := configurer.ParsePatch(file, data)
		require.NoError(t, err)
		_, err = configurer.Apply(configurer.New(), patch)
		require.NoError(t, err)
	}
}
