package transferrer

import (
	"errors"
	"io"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// fileReader reads a file of a manifest from its stored chunks.
type fileReader struct {
	store     *Store
	file      verifier.File
	chunkSize identifier.ByteCount
	offset    identifier.ByteCount
	index     int    // index of the chunk in data
	data      []byte // bytes of the chunk that was read last
}

// Open returns a reader of a file of the manifest. It is a loader.OpenFile.
func (s *Store) Open(m *verifier.Manifest, f verifier.File) (io.ReadSeekCloser, error) {
	return &fileReader{store: s, file: f, chunkSize: m.ChunkSize, index: -1}, nil
}

// Read returns bytes of at most one chunk per call.
func (r *fileReader) Read(p []byte) (int, error) {
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

// Seek sets the offset of the next Read.
func (r *fileReader) Seek(offset int64, whence int) (int64, error) {
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

// Close releases the chunk that was read last.
func (r *fileReader) Close() error {
	r.data = nil
	return nil
}
