package declarer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
)

// Declarations repeat the same words in each route, and go over thin links to many
// processes: packed, they are about a sixth of their size.

// pack compresses data.
func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack returns what was packed, up to the largest frame.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, corrupt(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(encoder.MaxFrame)+1))
	if err != nil {
		return nil, corrupt(err)
	}
	if len(data) > int(encoder.MaxFrame) {
		return nil, corrupt(fmt.Errorf("more than %d bytes", encoder.MaxFrame))
	}
	return data, nil
}

func corrupt(cause error) error {
	return explainer.Wrap(cause, explainer.Corrupt, "packed bytes can't be read", "check that both processes run compatible releases")
}

// UnpackDocument returns the document of State.PackedDocument.
func UnpackDocument(packed []byte) ([]byte, error) {
	return unpack(packed)
}

// PackedDelta is a Delta as it goes between processes.
type PackedDelta []byte

// Pack returns the difference for the way.
func (d Delta) Pack() (PackedDelta, error) {
	data, err := codec().Encode(0, d)
	if err != nil {
		return nil, err
	}
	return pack(data)
}

// Unpack returns the difference.
func (p PackedDelta) Unpack() (Delta, error) {
	data, err := unpack(p)
	if err != nil {
		return Delta{}, err
	}
	_, msg, err := codec().Decode(data)
	if err != nil {
		return Delta{}, err
	}
	delta, ok := msg.(*Delta)
	if !ok {
		return Delta{}, corrupt(fmt.Errorf("a %T is no difference", msg))
	}
	return *delta, nil
}
