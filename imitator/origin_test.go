package imitator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
	"celeryvalve/verifier"
)

func writeWeights(t *testing.T, folder string, version identifier.WeightVersion) *verifier.Manifest {
	digest, err := imitator.WriteWeights(imitator.WeightsConfig{
		Folder: folder, Model: "m", Version: version, ChunkSize: 1000, Size: 10_001, Files: 3, Shared: 0.5, Seed: 1,
	})
	require.NoError(t, err)
	data, err := os.ReadFile(filepath.Join(folder, "m", string(version), verifier.ManifestPath))
	require.NoError(t, err)
	require.Equal(t, identifier.DigestOf(data), digest)
	manifest, err := verifier.ParsePinned(data, digest)
	require.NoError(t, err)
	return manifest
}

func TestManifestDescribesFiles(t *testing.T) {
	folder := t.TempDir()
	first := writeWeights(t, folder, "1")
	var total identifier.ByteCount
	for _, file := range first.Files {
		data, err := os.ReadFile(filepath.Join(folder, "m", "1", file.Path))
		require.NoError(t, err)
		require.Equal(t, file.Digest, identifier.DigestOf(data))
		require.Equal(t, file.Chunks[1], identifier.DigestOf(data[1000:2000]))
		total += file.Size
	}
	require.Equal(t, identifier.ByteCount(10_001), total)

	second := writeWeights(t, folder, "2")
	shared := 0
	for i, file := range first.Files {
		for j, chunk := range file.Chunks {
			if second.Files[i].Chunks[j] == chunk {
				shared++
			}
		}
	}
	require.Greater(t, shared, 2)
	require.Less(t, shared, 10)
}

func get(t *testing.T, url, byteRange string) (*http.Response, []byte) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, body
}

func TestOriginCountsRangesAndLimits(t *testing.T) {
	folder := t.TempDir()
	writeWeights(t, folder, "1")
	clock := clockwork.NewFakeClock()
	sw := imitator.NewSwitch(imitator.Misbehaviour{})
	origin, err := imitator.NewOrigin(imitator.OriginConfig{Folder: folder, StoreRate: 1000, StoreBurst: 1}, clock, sw)
	require.NoError(t, err)
	srv := httptest.NewServer(origin.Handler())
	defer srv.Close()
	url := srv.URL + "/m/1/weights-000.bin"

	resp, body := get(t, url, "bytes=100-199")
	require.Equal(t, http.StatusPartialContent, resp.StatusCode)
	require.Len(t, body, 100)
	etag := resp.Header.Get("Etag")
	require.NotEmpty(t, etag)
	for range 5 {
		get(t, url, "")
	}
	resp, _ = get(t, srv.URL+"/m/1/weights-000.bin", "")
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	clock.Advance(time.Second)

	_, good := get(t, url, "bytes=0-9")
	sw.Set(imitator.Misbehaviour{CorruptFraction: 1})
	_, corrupt := get(t, url, "bytes=0-9")
	require.NotEqual(t, good, corrupt)
	sw.Set(imitator.Misbehaviour{Changed: true})
	changed, _ := get(t, url, "bytes=0-9")
	require.NotEqual(t, etag, changed.Header.Get("Etag"))
	counters := origin.Counters()
	require.Equal(t, 1, counters.Refused)
	require.Equal(t, identifier.ByteCount(100+5*3333+30), counters.Files["m/1/weights-000.bin"])
}
