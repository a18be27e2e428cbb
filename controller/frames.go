package controller

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// frameWriter writes the frames of a snapshot. After an error it writes nothing
// more, and finish returns the error.
type frameWriter struct {
	buf bytes.Buffer
	err error
}

func (w *frameWriter) write(msg any) {
	if w.err != nil {
		return
	}
	frame, err := snapshotCodec().Encode(0, msg)
	if err != nil {
		w.err = err
		return
	}
	if identifier.ByteCount(len(frame)) > encoder.MaxFrameSize {
		w.err = explainer.New(explainer.Internal, fmt.Sprintf("frame %T of %d bytes exceeds the maximum frame size", msg, len(frame)), "report this as a bug")
		return
	}
	var length [lengthSize]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(frame)))
	w.buf.Write(length[:])
	w.buf.Write(frame)
}

func (w *frameWriter) finish() ([]byte, error) {
	if w.err != nil {
		return nil, w.err
	}
	sum := sha256.Sum256(w.buf.Bytes())
	return append(w.buf.Bytes(), sum[:]...), nil
}

func writeList[T any](w *frameWriter, perFrame int, list []T, wrap func([]T) any) {
	for chunk := range slices.Chunk(list, perFrame) {
		w.write(wrap(chunk))
	}
}
