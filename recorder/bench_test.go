package recorder_test

import (
	"crypto/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/recorder"
)

// BenchmarkAppend measures one synced frame with one small entry.
func BenchmarkAppend(b *testing.B) {
	r, err := recorder.Open(recorder.OSFileSystem{}, recorder.Config{Folder: b.TempDir(), Name: "c1"}, rand.Reader)
	require.NoError(b, err)
	list := entries(recorder.Position{}, 1, b.N)
	b.ResetTimer()
	for _, e := range list {
		if err := r.Append(recorder.Batch{Entries: []recorder.Entry{e}}); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	require.NoError(b, r.Close())
}
