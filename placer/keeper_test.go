package placer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

// releaseOf returns a release of some chunks, and a store that holds them.
func releaseOf(t *testing.T, name string, chunks int) (*verifier.Manifest, *transferrer.Store) {
	t.Helper()
	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: 1 << 20})
	require.NoError(t, err)
	var digests []identifier.Digest
	for i := range chunks {
		data := make([]byte, 64)
		copy(data, name)
		data[63] = byte(i)
		digest := identifier.DigestOf(data)
		digests = append(digests, digest)
		chunk, err := verifier.VerifyBytes(digest, data)
		require.NoError(t, err)
		require.NoError(t, store.Put(chunk, data))
	}
	m, err := verifier.FromDigests(verifier.Description{Model: "m", Version: identifier.WeightVersion(name), ChunkSize: 64}, digests)
	require.NoError(t, err)
	return m, store
}

// restored returns how many of the chunks a keeper that starts finds.
func restored(t *testing.T, folder string, m *verifier.Manifest) int {
	t.Helper()
	n := 0
	newKeeper(folder, nil, clockwork.NewRealClock(), zap.NewNop()).restore(func(d identifier.Digest, data []byte) error {
		require.Equal(t, d, identifier.DigestOf(data))
		if len(m.Indices(d)) > 0 {
			n++
		}
		return nil
	})
	return n
}

// A mirror that lost its power finds the newest releases on its disk; those before
// them make room, and chunks that rotted are passed over.
func TestKeeperOutlastsARestart(t *testing.T) {
	folder := t.TempDir()
	var releases []*verifier.Manifest
	for _, name := range []string{"1", "2", "3"} {
		m, store := releaseOf(t, name, 4)
		k := newKeeper(folder, store, clockwork.NewRealClock(), zap.NewNop())
		k.restore(func(identifier.Digest, []byte) error { return nil })
		k.kept = releases
		k.keep(t.Context(), m)
		releases = append(releases, m)
	}
	require.Zero(t, restored(t, folder, releases[0]), "two newer ones have come")
	require.Equal(t, 4, restored(t, folder, releases[1]))
	require.Equal(t, 4, restored(t, folder, releases[2]))

	spoilt := filepath.Join(folder, weightsFolder, digestsOf(releases[2])[1].String())
	require.NoError(t, os.WriteFile(spoilt, []byte("rot"), 0o600))
	require.Equal(t, 3, restored(t, folder, releases[2]))
	require.NoFileExists(t, spoilt)
}

// A disk that can't be used costs the copy, and nothing else.
func TestKeeperWithoutADisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	m, store := releaseOf(t, "1", 2)
	k := newKeeper(file, store, clockwork.NewRealClock(), zap.NewNop())
	k.keep(t.Context(), m)
	k.restore(func(identifier.Digest, []byte) error { return errors.New("nothing is there") })
}
