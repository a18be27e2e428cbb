package verifier

import (
	"fmt"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Chunk is the proof that some bytes match a digest. Only VerifyChunk and
// VerifyBytes return a valid one; the zero value proves nothing.
type Chunk struct {
	digest identifier.Digest
	size   identifier.ByteCount
}

// Digest returns the digest that the bytes match.
func (c Chunk) Digest() identifier.Digest {
	return c.digest
}

// Size returns the number of verified bytes.
func (c Chunk) Size() identifier.ByteCount {
	return c.size
}

// VerifyChunk checks data against the size and digest of chunk i. It returns an
// error of kind NotFound if the manifest has no such chunk, and Corrupt if data
// does not match.
func (m *Manifest) VerifyChunk(i ChunkIndex, data []byte) (Chunk, error) {
	location, ok := m.Chunk(i)
	if !ok {
		return Chunk{}, explainer.New(explainer.NotFound, fmt.Sprintf("manifest has no chunk %d", i),
			"ask for a chunk of the same manifest")
	}
	if identifier.ByteCount(len(data)) != location.Size {
		return Chunk{}, corruptChunk(i, fmt.Sprintf("has %d bytes, not %d", len(data), location.Size))
	}
	return VerifyBytes(location.Digest, data)
}

// VerifyBytes checks data against a digest and returns an error of kind Corrupt if
// it does not match.
func VerifyBytes(digest identifier.Digest, data []byte) (Chunk, error) {
	if identifier.DigestOf(data) != digest {
		return Chunk{}, explainer.New(explainer.Corrupt, fmt.Sprintf("chunk does not match digest %s", digest),
			"fetch the chunk from another source")
	}
	return Chunk{digest: digest, size: identifier.ByteCount(len(data))}, nil
}

func corruptChunk(i ChunkIndex, problem string) error {
	return explainer.New(explainer.Corrupt, fmt.Sprintf("chunk %d %s", i, problem),
		"fetch the chunk from another source")
}
