package identifier_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
)

// Guards against values from outside that one process takes as a name and another one can't read.
func TestNamesAreReadableEverywhere(t *testing.T) {
	for _, name := range []string{"i-7f3a91c2", "nord-a", "büro 2", "a/b", strings.Repeat("x", identifier.MaxNameLength)} {
		require.NoError(t, identifier.CheckName("name", name))
	}
	for name, problem := range map[string]string{
		"":                              "service is empty",
		"i-\xff":                        `service "i-\xff" is not valid UTF-8`,
		"i-\ufffd":                      `service "i-�" is not valid UTF-8`,
		"i-\x00":                        `service "i-\x00" has a control character`,
		"a\nb":                          `service "a\nb" has a control character`,
		"\u0085":                        `service "\u0085" has a control character`,
		strings.Repeat("x", 257):        "has 257 bytes, but a name has at most 256",
		strings.Repeat("\xff", 100_000): "has 100000 bytes",
	} {
		require.ErrorContains(t, identifier.CheckName("service", identifier.Service(name)), problem)
	}
	require.NoError(t, identifier.CheckOptionalName("zone", ""))
	require.Error(t, identifier.CheckOptionalName("zone", "\x7f"))
}
