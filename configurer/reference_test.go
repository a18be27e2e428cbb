package configurer_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/configurer"
)

func TestPageOfPatchesHoldsTheReference(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/patches.md")
	require.NoError(t, err)
	reference := string(configurer.Reference())
	require.NotContains(t, reference, "|  |", "a key has no help")
	require.True(t, strings.HasSuffix(string(page), reference), "end docs/operators/patches.md with:\n%s", reference)
}
