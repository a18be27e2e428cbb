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

// ManifestPath is where an origin serves the manifest, under the source.
const ManifestPath = "Manifest.json"

// MaxChunkSize is the largest size of a chunk, in bytes. A chunk has to fit
// into one frame between processes.
const MaxChunkSize identifier.ByteCount = 4 << 20

// MaxManifestSize is the largest encoding of a manifest, in bytes.
const MaxManifestSize = 64 << 20

// ChunkIndex numbers the chunks of a manifest from 0, file after file.
type ChunkIndex int

// File is one file of the weights.
type File struct {
	Path   string
	Size   identifier.ByteCount
	Digest identifier.Digest
	Chunks []identifier.Digest
}

// Manifest lists the files of one version of a model, or of an adapter of the
// model where Adapter is set. It is immutable once parsed or built.
type Manifest struct {
	Model     identifier.Model
	Adapter   identifier.Adapter
	Version   identifier.WeightVersion
	ChunkSize identifier.ByteCount
	Files     []File

	encoded []byte
	digest  identifier.Digest
	chunks  []Location
	indices map[identifier.Digest][]ChunkIndex
	size    identifier.ByteCount
}

// Location says which bytes a chunk holds and where they stand.
type Location struct {
	Digest identifier.Digest
	File   int
	Offset identifier.ByteCount
	Size   identifier.ByteCount
}

// Parse reads the encoding of a manifest and checks that it is consistent.
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
	if err := m.finish(data); err != nil {
		return nil, err
	}
	return m, nil
}

// ParsePinned reads a manifest and checks it against its pinned digest.
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

// Encode returns the bytes that the origin serves. The caller must not change them.
func (m *Manifest) Encode() []byte {
	return m.encoded
}

// Digest returns the digest of the encoding, which the configuration pins.
func (m *Manifest) Digest() identifier.Digest {
	return m.digest
}

// Size returns the number of bytes of all files.
func (m *Manifest) Size() identifier.ByteCount {
	return m.size
}

// Chunks returns how many chunks all files have.
func (m *Manifest) Chunks() int {
	return len(m.chunks)
}

// Chunk returns where the chunk stands, or false where there is no such chunk.
func (m *Manifest) Chunk(i ChunkIndex) (Location, bool) {
	if i < 0 || int(i) >= len(m.chunks) {
		return Location{}, false
	}
	return m.chunks[i], true
}

// Indices returns which chunks have the digest. The caller must not change them.
func (m *Manifest) Indices(digest identifier.Digest) []ChunkIndex {
	return m.indices[digest]
}

// finish checks the fields and fills in what is derived from them and the encoding.
func (m *Manifest) finish(encoded []byte) error {
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
		if err := m.locate(i); err != nil {
			return err
		}
	}
	m.encoded = bytes.Clone(encoded)
	m.digest = identifier.DigestOf(encoded)
	return nil
}

// locate adds the chunks of one file.
func (m *Manifest) locate(file int) error {
	f := m.Files[file]
	if !fs.ValidPath(f.Path) || f.Path == "." || f.Path == ManifestPath {
		return malformed(fmt.Sprintf("file path %q is not allowed", f.Path), nil)
	}
	if f.Size < 0 || f.Digest.IsZero() {
		return malformed(fmt.Sprintf("file %q has no valid Size or Digest", f.Path), nil)
	}
	want := int64(f.Size / m.ChunkSize)
	if f.Size%m.ChunkSize != 0 {
		want++
	}
	if int64(len(f.Chunks)) != want {
		return malformed(fmt.Sprintf("file %q has %d chunks, not %d", f.Path, len(f.Chunks), want), nil)
	}
	for i, digest := range f.Chunks {
		offset := identifier.ByteCount(i) * m.ChunkSize
		m.indices[digest] = append(m.indices[digest], ChunkIndex(len(m.chunks)))
		m.chunks = append(m.chunks, Location{
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
