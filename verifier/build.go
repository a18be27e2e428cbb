package verifier

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"io/fs"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Description holds the fields of a manifest other than its files.
type Description struct {
	Model     identifier.Model
	Adapter   identifier.Adapter
	Version   identifier.WeightVersion
	ChunkSize identifier.ByteCount
}

// Build returns the manifest of all regular files under fsys, in lexical order of
// their paths. A file at ManifestPath is left out.
func Build(d Description, fsys fs.FS) (*Manifest, error) {
	if d.ChunkSize <= 0 || d.ChunkSize > MaxChunkSize {
		return nil, malformed("ChunkSize is zero, negative or above the maximum", nil)
	}
	m := &Manifest{Model: d.Model, Adapter: d.Adapter, Version: d.Version, ChunkSize: d.ChunkSize}
	err := fs.WalkDir(fsys, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() || path == ManifestPath {
			return err
		}
		f, err := buildFile(fsys, path, d.ChunkSize)
		m.Files = append(m.Files, f)
		return err
	})
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "files of the weights can't be read",
			"check that the folder exists and is readable")
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, malformed("manifest can't be encoded", err)
	}
	if err := m.validateAndIndex(data); err != nil {
		return nil, err
	}
	return m, nil
}

func buildFile(fsys fs.FS, path string, chunkSize identifier.ByteCount) (File, error) {
	f := File{Path: path, Chunks: []identifier.Digest{}}
	r, err := fsys.Open(path)
	if err != nil {
		return f, err
	}
	defer func() { _ = r.Close() }()
	fileHash := sha256.New()
	buf := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			f.Size += identifier.ByteCount(n)
			f.Chunks = append(f.Chunks, identifier.DigestOf(buf[:n]))
			_, _ = fileHash.Write(buf[:n])
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			f.Digest = identifier.Digest(fileHash.Sum(nil))
			return f, nil
		}
		if err != nil {
			return f, err
		}
	}
}
