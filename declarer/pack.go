package declarer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Declarations and documents are compressed because they are sent to many processes
// over links of low bandwidth. Since each route repeats the same words, they shrink
// to about a sixth of their size.

// compress compresses data.
func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// maxDeltaSize is the size of the largest encoded delta: a declaration, the names of all objects of
// another one, and a little more.
const maxDeltaSize = 2*encoder.MaxFrameSize + 1<<10

// decompress decompresses data. It returns an error of kind Corrupt if the result
// is larger than the limit.
func decompress(compressed []byte, limit identifier.ByteCount) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, corrupt(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, corrupt(err)
	}
	if identifier.ByteCount(len(data)) > limit {
		return nil, corrupt(fmt.Errorf("more than %d bytes", limit))
	}
	return data, nil
}

func corrupt(cause error) error {
	return explainer.Wrap(cause, explainer.Corrupt, "compressed data can't be read", "check that both processes run compatible releases")
}

// DecompressDocument decompresses the result of State.CompressedDocument.
func DecompressDocument(compressed []byte) ([]byte, error) {
	return decompress(compressed, encoder.MaxFrameSize)
}

// EncodedDelta is an encoded and compressed Delta, as it is sent between processes.
type EncodedDelta []byte

// Encode encodes and compresses the delta.
func (d Delta) Encode() (EncodedDelta, error) {
	data, err := stateCodec().Encode(0, d)
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// Decode decompresses and decodes the delta.
func (p EncodedDelta) Decode() (Delta, error) {
	data, err := decompress(p, maxDeltaSize)
	if err != nil {
		return Delta{}, err
	}
	_, msg, err := stateCodec().Decode(data)
	if err != nil {
		return Delta{}, err
	}
	delta, ok := msg.(*Delta)
	if !ok {
		return Delta{}, corrupt(fmt.Errorf("message is a %T, not a delta", msg))
	}
	return *delta, nil
}
