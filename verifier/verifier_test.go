package verifier_test

import (
	"bytes"
	"io"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"celeryvalve/explainer"
	"celeryvalve/verifier"
)

func build(t testing.TB, files fstest.MapFS) *verifier.Manifest {
	m, err := verifier.Build(verifier.Description{Model: "drafter", WeightVersion: "1", ChunkSize: 4}, files)
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

func open(files fstest.MapFS) verifier.Open {
	return func(f verifier.File) (io.ReadCloser, error) { return files.Open(f.Path) }
}

func TestManifestSurvivesItsEncoding(t *testing.T) {
	m := build(t, sample())
	data, err := m.Encode()
	require.NoError(t, err)
	parsed, err := verifier.ParsePinned(data, m.Digest())
	require.NoError(t, err)
	require.Equal(t, m, parsed)
	require.Equal(t, 4, parsed.Chunks())
}

func TestPinnedDigestRefusesChangedContent(t *testing.T) {
	m := build(t, sample())
	changed := sample()
	changed["tokens"].Data = []byte("abce")
	data, err := build(t, changed).Encode()
	require.NoError(t, err)
	_, err = verifier.ParsePinned(data, m.Digest())
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
	data, err := build(f, sample()).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"Model":"m","WeightVersion":"1","ChunkSize":1,"Files":[{"Path":"../x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := verifier.Parse(data)
		if err != nil {
			return
		}
		encoded, err := m.Encode()
		require.NoError(t, err)
		again, err := verifier.ParsePinned(encoded, m.Digest())
		require.NoError(t, err)
		twice, err := again.Encode()
		require.NoError(t, err)
		require.True(t, bytes.Equal(encoded, twice))
	})
}
