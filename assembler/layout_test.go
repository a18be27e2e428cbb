package assembler

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a release that can't run beside the one before it, on the settings path. The
// golden file is that of 7ce860f.
func TestMessagesOfTheReleaseBeforeAreReadable(t *testing.T) {
	codec, err := newCodec()
	require.NoError(t, err)
	before, err := os.ReadFile("testdata/messages.txt")
	require.NoError(t, err)
	require.Subset(t, codec.Layout(), strings.Split(strings.TrimSpace(string(before)), "\n"))
}
