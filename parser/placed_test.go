package parser_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/parser"
)

func TestPlacedSettings(t *testing.T) {
	s, err := parser.ParsePlacedSettings("placed.toml", []byte("[Engines.drafting]\nPrefixTokens = 600000\n"))
	require.NoError(t, err)
	require.Equal(t, map[identifier.Service]parser.EngineSettings{"drafting": {PrefixTokens: 600_000}}, s.Engines)
	for text, problem := range map[string]string{
		"[Engines.drafting]\nPrefixTokens = -1\n":                   "-1 tokens are negative",
		"[Engines.drafting]\nPrefixTokens = 99999999999999999999\n": "",
		"[Engines.drafting]\nPrefixes = 1\n":                        "key is not known",
		"Engines = 3\n":                                             "a table",
	} {
		_, err := parser.ParsePlacedSettings("placed.toml", []byte(text))
		require.ErrorContains(t, err, problem)
	}
}
