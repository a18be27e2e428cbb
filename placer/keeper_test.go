package placer

import (
	"context"
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

// releaseOf returns a release with the given number of chunks, and a store that holds
// them.
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

// loadedCache returns a cache that has loaded its disk.
func loadedCache(folder string, store *transferrer.Store) *weightsCache {
	c := newWeightsCache(folder, store, clockwork.NewRealClock(), zap.NewNop())
	c.load()
	return c
}

// restored returns how many chunks of the release a new cache finds on the disk, however long that takes.
func restored(t *testing.T, folder string, m *verifier.Manifest) int {
	t.Helper()
	n := 0
	c := newWeightsCache(folder, nil, clockwork.NewFakeClock(), zap.NewNop())
	c.load()
	c.restore(m, func(d identifier.Digest, data []byte) error {
		require.Equal(t, d, identifier.DigestOf(data))
		n++
		return nil
	})
	return n
}

// Guards against a mirror that loses its cached releases in a power failure: it must
// find them on its disk, whichever is wanted first. Corrupt chunks are skipped and
// deleted.
func TestKeeperOutlastsARestart(t *testing.T) {
	folder := t.TempDir()
	first, store := releaseOf(t, "1", 4)
	loadedCache(folder, store).save(t.Context(), first)
	second, store := releaseOf(t, "2", 4)
	loadedCache(folder, store).save(t.Context(), second)
	require.Equal(t, 4, restored(t, folder, first))
	require.Equal(t, 4, restored(t, folder, second))

	corrupt := filepath.Join(folder, weightsFolder, digestsOf(second)[1].String())
	require.NoError(t, os.WriteFile(corrupt, []byte("rot"), 0o600))
	require.Equal(t, 3, restored(t, folder, second))
	require.NoFileExists(t, corrupt)
}

// Guards against a mirror that reads all kept releases before the wanted one, and gives that up
// since they take too long: what isn't wanted stays unread.
func TestKeeperReadsTheWantedReleaseAlone(t *testing.T) {
	folder := t.TempDir()
	first, store := releaseOf(t, "1", 4)
	loadedCache(folder, store).save(t.Context(), first)
	second, store := releaseOf(t, "2", 4)
	loadedCache(folder, store).save(t.Context(), second)
	old := filepath.Join(folder, weightsFolder, digestsOf(first)[1].String())
	require.NoError(t, os.WriteFile(old, []byte("rot"), 0o600))
	require.Equal(t, 4, restored(t, folder, second))
	require.FileExists(t, old, "it would have been removed if it had been read")
	require.Equal(t, 3, restored(t, folder, first))
	require.NoFileExists(t, old)
}

// Guards against a cache that exceeds its limit, or takes no more releases, when the
// disk is full of older ones: these must be deleted.
func TestKeeperMakesRoom(t *testing.T) {
	folder := t.TempDir()
	first, store := largeRelease(t, 1)
	loadedCache(folder, store).save(t.Context(), first)
	c := loadedCache(folder, store)
	var last *verifier.Manifest
	for i := range 2 {
		last, c.memory = largeRelease(t, byte(2+i))
		c.save(t.Context(), last)
		require.LessOrEqual(t, c.disk.Used(), cacheLimit)
	}
	require.Zero(t, restored(t, folder, first))
	require.Equal(t, 2, restored(t, folder, last))
}

// largeRelease returns a release of two chunks whose size is three eighths of
// cacheLimit.
func largeRelease(t *testing.T, seed byte) (*verifier.Manifest, *transferrer.Store) {
	t.Helper()
	const size = cacheLimit * 3 / 16
	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: cacheLimit})
	require.NoError(t, err)
	var digests []identifier.Digest
	for i := range byte(2) {
		data := make([]byte, size)
		data[0], data[1] = seed, i
		digest := identifier.DigestOf(data)
		digests = append(digests, digest)
		chunk, err := verifier.VerifyBytes(digest, data)
		require.NoError(t, err)
		require.NoError(t, store.Put(chunk, data))
	}
	m, err := verifier.FromDigests(verifier.Description{Model: "m", Version: "1", ChunkSize: size}, digests)
	require.NoError(t, err)
	return m, store
}

// Guards against a mirror that fails if its disk can't be used: only the cache may be
// missing.
func TestKeeperWithoutADisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	m, store := releaseOf(t, "1", 2)
	c := loadedCache(file, store)
	c.save(t.Context(), m)
	c.restore(m, func(identifier.Digest, []byte) error { return errors.New("nothing is there") })
}

// Guards against a mirror that waits for a stalled disk longer than cacheReadTimeout.
func TestKeeperWithAStalledDisk(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m, store := releaseOf(t, "1", 2)
	c := newWeightsCache(t.TempDir(), store, clock, zap.NewNop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.restore(m, func(identifier.Digest, []byte) error { return nil })
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(cacheReadTimeout)
	<-done
}

// Guards against a process that neither starts nor stops while its disk takes long to create a folder.
func TestKeeperIsBuiltWithoutItsDisk(t *testing.T) {
	m, store := releaseOf(t, "1", 1)
	folder := t.TempDir()
	c := newWeightsCache(folder, store, clockwork.NewRealClock(), zap.NewNop())
	require.NoDirExists(t, filepath.Join(folder, weightsFolder))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c.save(ended, m)
	c.load()
	require.DirExists(t, filepath.Join(folder, weightsFolder))
}

// BenchmarkLoad measures how a mirror takes up a wanted release of 2 MiB beside as many kept ones
// as the cache has room for.
func BenchmarkLoad(b *testing.B) {
	const size, chunks = 64 << 10, 32
	folder := b.TempDir()
	var wanted *verifier.Manifest
	for i := range cacheLimit / (size * chunks) {
		store, err := transferrer.NewStore(transferrer.StoreConfig{Folder: filepath.Join(folder, weightsFolder), Limit: cacheLimit})
		require.NoError(b, err)
		var digests []identifier.Digest
		for j := range chunks {
			data := make([]byte, size)
			data[0], data[1] = byte(i), byte(j)
			digest := identifier.DigestOf(data)
			digests = append(digests, digest)
			chunk, err := verifier.VerifyBytes(digest, data)
			require.NoError(b, err)
			require.NoError(b, store.Put(chunk, data))
		}
		wanted, err = verifier.FromDigests(verifier.Description{Model: "m", Version: "1", ChunkSize: size}, digests)
		require.NoError(b, err)
	}
	for b.Loop() {
		n := 0
		loadedCache(folder, nil).restore(wanted, func(identifier.Digest, []byte) error {
			n++
			return nil
		})
		require.Equal(b, chunks, n)
	}
}
