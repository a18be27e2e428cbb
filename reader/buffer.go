package reader

import (
	"errors"
	"io"
)

const (
	firstChunkSize = 512
	maxChunkSize   = 64 << 10
)

// Buffer holds what was read, in chunks, so that it grows without a copy.
type Buffer struct {
	chunks [][]byte
	size   int64
}

// ReadAll reads r to its end. It takes from res what it allocates as bytes come, and returns a
// NoMemoryError if there is no more.
func ReadAll(r io.Reader, res *Reservation) (*Buffer, error) {
	b := &Buffer{}
	for size := firstChunkSize; ; size = min(maxChunkSize, 2*size) {
		if err := res.Grow(size); err != nil {
			return nil, err
		}
		chunk, err := fill(r, make([]byte, size))
		b.chunks = append(b.chunks, chunk)
		b.size += int64(len(chunk))
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// ReadBytes reads r to its end like ReadAll, and returns the bytes in one piece.
func ReadBytes(r io.Reader, res *Reservation) ([]byte, error) {
	b, err := ReadAll(r, res)
	if err != nil {
		return nil, err
	}
	if err := res.Grow(int(b.size)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		data = append(data, chunk...)
		res.Shrink(cap(chunk))
	}
	return data, nil
}

// fill reads until the chunk is full, or up to an error, and returns what was read.
func fill(r io.Reader, chunk []byte) ([]byte, error) {
	n := 0
	for n < len(chunk) {
		m, err := r.Read(chunk[n:])
		n += m
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// Len returns the number of bytes. That of a nil buffer is 0.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// WriteTo writes all bytes to w. It can be called any number of times.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	if b == nil {
		return written, nil
	}
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader returns a new reader of all bytes.
func (b *Buffer) Reader() io.Reader {
	return &bufferReader{chunks: b.chunks}
}

// bufferReader reads chunks in turn.
type bufferReader struct {
	chunks [][]byte
	offset int // in the first of them
}

// Read reads from the first chunk that has bytes left.
func (r *bufferReader) Read(p []byte) (int, error) {
	for len(r.chunks) > 0 && r.offset == len(r.chunks[0]) {
		r.chunks, r.offset = r.chunks[1:], 0
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0][r.offset:])
	r.offset += n
	return n, nil
}
