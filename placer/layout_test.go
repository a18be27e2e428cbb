package placer

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
	"celeryvalve/recorder"
)

var updateLayout = flag.Bool("update-layout", false, "write the layouts of messages and files to testdata, for a new release")

// requireReadable requires that the layout has all lines of the one of the release before.
func requireReadable(t *testing.T, golden string, layout []string) {
	if *updateLayout {
		require.NoError(t, os.WriteFile(golden, []byte(strings.Join(layout, "\n")+"\n"), 0o600))
	}
	before, err := os.ReadFile(golden)
	require.NoError(t, err)
	for line := range strings.Lines(string(before)) {
		require.Contains(t, layout, strings.TrimSpace(line), "the release before reads or writes this field")
	}
}

// Guards against a disk that the release before wrote and this one can't read, or that can't be
// read any more after going back.
func TestFilesOfTheReleaseBeforeAreReadable(t *testing.T) {
	requireReadable(t, "testdata/files.txt", slices.Concat(recorder.Layout(), declarer.Layout()))
}

// Guards against a release that can't run beside the one before it: a field that one of them
// writes and the other reads is gone, or of another type. The golden file is that of 7ce860f.
func TestMessagesOfTheReleaseBeforeAreReadable(t *testing.T) {
	codec, err := newCodec()
	require.NoError(t, err)
	requireReadable(t, "testdata/messages.txt", codec.Layout())
}
