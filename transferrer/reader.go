package transferrer

import (
	"errors"
	"io"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// reader reads a file of a manifest from its stored chunks.
type reader struct {
	store     *Store
	file      verifier.File
	chunkSize identifier.ByteCount
	offset    identifier.ByteCount
	index     int    // of the chunk in data
	data      []byte // the chunk that was read last
}

// Open opens a file of the manifest. It fits loader.OpenFile.
func (s *Store) Open(m *verifier.Manifest, f verifier.File) (io.ReadSeekCloser, error) {
	return &reader{store: s, file: f, chunkSize: m.ChunkSize, index: -1}, nil
}

// Read reads from one chunk at a time.
func (r *reader) Read(p []byte) (int, error) {
	if r.offset >= r.file.Size {
		return 0, io.EOF
	}
	index := int(r.offset / r.chunkSize)
	if index != r.index {
		data, err := r.store.Get(r.file.Chunks[index])
		if err != nil {
			return 0, err
		}
		r.index, r.data = index, data
	}
	start := r.offset - identifier.ByteCount(index)*r.chunkSize
	if start >= identifier.ByteCount(len(r.data)) {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.data[start:])
	r.offset += identifier.ByteCount(n)
	return n, nil
}

// Seek moves to a place in the file.
func (r *reader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += int64(r.offset)
	case io.SeekEnd:
		offset += int64(r.file.Size)
	}
	if offset < 0 {
		return 0, errors.New("seek before the start of the file")
	}
	r.offset = identifier.ByteCount(offset)
	return offset, nil
}

// Close lets go of the chunk.
func (r *reader) Close() error {
	r.data = nil
	return nil
}
