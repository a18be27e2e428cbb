package verifier_test

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/imitator"
	"celeryvalve/verifier"
)

func TestManifestOfTheOriginParses(t *testing.T) {
	folder := t.TempDir()
	pinned, err := imitator.WriteWeights(imitator.WeightsConfig{
		Folder: folder, Model: "drafter", Adapter: "tone", Version: "1", ChunkSize: 100, Size: 1234, Files: 3,
	})
	require.NoError(t, err)
	folder = filepath.Join(folder, "drafter", "tone", "1")
	data, err := os.ReadFile(filepath.Join(folder, verifier.ManifestPath))
	require.NoError(t, err)
	m, err := verifier.ParsePinned(data, pinned)
	require.NoError(t, err)
	_, err = m.VerifyFiles(func(f verifier.File) (io.ReadCloser, error) {
		return os.Open(filepath.Join(folder, f.Path))
	})
	require.NoError(t, err)
}
