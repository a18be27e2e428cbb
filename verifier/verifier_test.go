package verifier_test

import (
	"io"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

func build(t testing.TB, files fstest.MapFS) *verifier.Manifest {
	m, err := verifier.Build(verifier.Description{Model: "drafter", Version: "1", ChunkSize: 4}, files)
	require.NoError(t, err)
	return m
}

func sample() fstest.MapFS {
	return fstest.MapFS{
		"a/weights": {Data: []byte("0123456789")},
		"empty":     {Data: nil},
		"tokens":    {Data: []byte("abcd")},
	}
}

func open(files fstest.MapFS) verifier.OpenFunc {
	return func(f verifier.File) (io.ReadCloser, error) { return files.Open(f.Path) }
}

func TestManifestSurvivesItsEncoding(t *testing.T) {
	m := build(t, sample())
	data := m.Encoded()
	parsed, err := verifier.ParsePinned(data, m.Digest())
	require.NoError(t, err)
	require.Equal(t, m, parsed)
	require.Equal(t, 4, parsed.ChunkCount())
}

func TestPinnedDigestRefusesChangedContent(t *testing.T) {
	m := build(t, sample())
	changed := sample()
	changed["tokens"].Data = []byte("abce")
	data := build(t, changed).Encoded()
	_, err := verifier.ParsePinned(data, m.Digest())
	require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
}

func TestChunkIsVerifiedByDigestAndSize(t *testing.T) {
	m := build(t, sample())
	chunk, err := m.VerifyChunk(2, []byte("89"))
	require.NoError(t, err)
	require.EqualValues(t, 2, chunk.Size())
	for _, wrong := range []string{"", "8", "88", "890"} {
		_, err = m.VerifyChunk(2, []byte(wrong))
		require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
	}
	_, err = m.VerifyChunk(4, nil)
	require.Equal(t, explainer.NotFound, explainer.KindOf(err))
}

func TestWeightsNeedEveryFile(t *testing.T) {
	m := build(t, sample())
	w, err := m.VerifyFiles(open(sample()))
	require.NoError(t, err)
	require.Equal(t, m, w.Manifest())
	for path := range sample() {
		changed := sample()
		changed[path] = &fstest.MapFile{Data: []byte("x")}
		w, err = m.VerifyFiles(open(changed))
		require.Error(t, err)
		require.True(t, w.IsZero())
	}
	_, err = (&verifier.Manifest{}).VerifyFiles(open(sample()))
	require.Error(t, err)
}

func FuzzParse(f *testing.F) {
	f.Add(build(f, sample()).Encoded())
	f.Add([]byte(`{"Model":"m","Version":"1","ChunkSize":1,"Files":[{"Path":"../x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := verifier.Parse(data)
		if err != nil {
			return
		}
		again, err := verifier.ParsePinned(m.Encoded(), m.Digest())
		require.NoError(t, err)
		require.Equal(t, m, again)
		var size identifier.ByteCount
		for i := range m.ChunkCount() {
			l, ok := m.Chunk(verifier.ChunkIndex(i))
			require.True(t, ok)
			require.Positive(t, l.Size)
			size += l.Size
		}
		require.Equal(t, m.Size(), size)
	})
}
