package verifier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// ManifestPath is the path of the manifest at the origin, relative to the source.
const ManifestPath = "Manifest.json"

// MaxChunkSize is the maximum size of a chunk in bytes. A chunk is sent between
// processes in a single frame and must fit into it.
const MaxChunkSize identifier.ByteCount = 4 << 20

// MaxManifestSize is the maximum size of an encoded manifest in bytes.
const MaxManifestSize = 64 << 20

// ChunkIndex is the position of a chunk in a manifest, counted from 0 over all
// files in their order.
type ChunkIndex int

// File describes one file of the weights. Chunks holds the digests of its chunks
// in order.
type File struct {
	Path   string
	Size   identifier.ByteCount
	Digest identifier.Digest
	Chunks []identifier.Digest
}

// Manifest lists the files of one version of a model or, if Adapter is set, of an
// adapter of that model. It is immutable once parsed or built.
type Manifest struct {
	Model     identifier.Model
	Adapter   identifier.Adapter
	Version   identifier.WeightVersion
	ChunkSize identifier.ByteCount
	Files     []File

	encoded []byte
	digest  identifier.Digest
	chunks  []ChunkLocation
	indices map[identifier.Digest][]ChunkIndex
	size    identifier.ByteCount
}

// ChunkLocation describes a chunk: its digest and the byte range of the file that it
// covers.
type ChunkLocation struct {
	Digest identifier.Digest
	File   int // index into Manifest.Files
	Offset identifier.ByteCount
	Size   identifier.ByteCount
}

// Parse decodes a manifest and checks that it is consistent. Unknown fields are an
// error.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxManifestSize {
		return nil, malformed("manifest is larger than the limit", nil)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	m := &Manifest{}
	if err := dec.Decode(m); err != nil {
		return nil, malformed("manifest can't be decoded", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, malformed("manifest is followed by other data", nil)
	}
	if err := m.validateAndIndex(data); err != nil {
		return nil, err
	}
	return m, nil
}

// ParsePinned parses a manifest and returns an error of kind Corrupt if its digest
// is not the pinned one.
func ParsePinned(data []byte, pinned identifier.Digest) (*Manifest, error) {
	m, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if m.digest != pinned {
		return nil, explainer.New(explainer.Corrupt,
			fmt.Sprintf("manifest has digest %s, but %s is pinned", m.digest, pinned),
			"restore the origin's content, or declare the new content as a new version")
	}
	return m, nil
}

// Encoded returns the encoded manifest as the origin serves it. The caller must not
// modify it.
func (m *Manifest) Encoded() []byte {
	return m.encoded
}

// Digest returns the digest of the encoded manifest, which the configuration pins.
func (m *Manifest) Digest() identifier.Digest {
	return m.digest
}

// Size returns the total size of all files.
func (m *Manifest) Size() identifier.ByteCount {
	return m.size
}

// ChunkCount returns the number of chunks of all files.
func (m *Manifest) ChunkCount() int {
	return len(m.chunks)
}

// Chunk returns the location of chunk i, or false if there is no such chunk.
func (m *Manifest) Chunk(i ChunkIndex) (ChunkLocation, bool) {
	if i < 0 || int(i) >= len(m.chunks) {
		return ChunkLocation{}, false
	}
	return m.chunks[i], true
}

// ChunkIndices returns the indices of all chunks with the digest. The caller must not
// modify them.
func (m *Manifest) ChunkIndices(digest identifier.Digest) []ChunkIndex {
	return m.indices[digest]
}

// validateAndIndex validates the exported fields and computes the unexported ones
// from them and from the encoded manifest.
func (m *Manifest) validateAndIndex(encoded []byte) error {
	if m.Model == "" {
		return malformed("manifest has no Model", nil)
	}
	if m.Version == "" {
		return malformed("manifest has no Version", nil)
	}
	if m.ChunkSize <= 0 || m.ChunkSize > MaxChunkSize {
		return malformed(fmt.Sprintf("ChunkSize %d is not between 1 and %d", m.ChunkSize, MaxChunkSize), nil)
	}
	if len(m.Files) == 0 {
		return malformed("manifest has no Files", nil)
	}
	m.indices = make(map[identifier.Digest][]ChunkIndex)
	seen := make(map[string]bool, len(m.Files))
	for i, f := range m.Files {
		if seen[f.Path] {
			return malformed(fmt.Sprintf("file %q is listed twice", f.Path), nil)
		}
		seen[f.Path] = true
		if err := m.indexFile(i); err != nil {
			return err
		}
	}
	m.encoded = bytes.Clone(encoded)
	m.digest = identifier.DigestOf(encoded)
	return nil
}

// indexFile validates one file and adds the locations of its chunks.
func (m *Manifest) indexFile(file int) error {
	f := m.Files[file]
	if !fs.ValidPath(f.Path) || f.Path == "." || f.Path == ManifestPath {
		return malformed(fmt.Sprintf("file path %q is not allowed", f.Path), nil)
	}
	if f.Size < 0 || f.Digest.IsZero() {
		return malformed(fmt.Sprintf("file %q has no valid Size or Digest", f.Path), nil)
	}
	wantChunks := int64(f.Size / m.ChunkSize)
	if f.Size%m.ChunkSize != 0 {
		wantChunks++
	}
	if int64(len(f.Chunks)) != wantChunks {
		return malformed(fmt.Sprintf("file %q has %d chunks, not %d", f.Path, len(f.Chunks), wantChunks), nil)
	}
	for i, digest := range f.Chunks {
		offset := identifier.ByteCount(i) * m.ChunkSize
		m.indices[digest] = append(m.indices[digest], ChunkIndex(len(m.chunks)))
		m.chunks = append(m.chunks, ChunkLocation{
			Digest: digest,
			File:   file,
			Offset: offset,
			Size:   min(m.ChunkSize, f.Size-offset),
		})
	}
	m.size += f.Size
	return nil
}

func malformed(problem string, cause error) error {
	const remedy = "build the manifest again with celeryvalve and publish it under a new version"
	if cause == nil {
		return explainer.New(explainer.InvalidInput, problem, remedy)
	}
	return explainer.Wrap(cause, explainer.InvalidInput, problem, remedy)
}
