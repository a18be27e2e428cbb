package parser_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/parser"
)

func TestPageOfSettingsHoldsTheReference(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	reference := string(parser.Reference(parser.DefaultSettings()))
	require.NotContains(t, reference, "|  |", "a key has no help")
	require.True(t, strings.HasSuffix(string(page), reference), "end docs/settings.md with:\n%s", reference)
}
