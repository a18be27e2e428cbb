package assembler_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/assembler"
)

// Guards against a failed start whose last line names the constructors that depended on
// the failed one, instead of only the cause and its remedy.
func TestFailedStartSaysWhatIsWrong(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	settings := filepath.Join(folder, "settings.toml")
	text := "DataFolder = \"" + file + "\"\n[Keys]\nFolder = \"" + filepath.Join(folder, "keys") + "\"\n"
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	var stdout, stderr bytes.Buffer
	require.NotZero(t, assembler.Run([]string{"--settings", settings}, &stdout, &stderr))
	lines := bytes.Split(bytes.TrimSpace(stderr.Bytes()), []byte("\n"))
	last := string(lines[len(lines)-1])
	require.Contains(t, last, "celeryvalved: creation of the data folder: disk failed")
	require.Contains(t, last, "check the disk of the data folder")
	require.NotContains(t, last, "build")
}
