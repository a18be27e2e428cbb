package verifier

import (
	"encoding/json"
	"strconv"

	"celeryvalve/identifier"
)

// FromDigests returns the manifest of weights of which only the digests of the
// chunks are known. Each chunk becomes a file of d.ChunkSize bytes, whose path is
// the index of the chunk. Equal arguments give equal manifests.
func FromDigests(d Description, digests []identifier.Digest) (*Manifest, error) {
	m := Manifest{Model: d.Model, Adapter: d.Adapter, Version: d.Version, ChunkSize: d.ChunkSize}
	for i, digest := range digests {
		m.Files = append(m.Files, File{
			Path:   strconv.Itoa(i),
			Size:   d.ChunkSize,
			Digest: digest,
			Chunks: []identifier.Digest{digest},
		})
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}
