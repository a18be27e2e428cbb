package recorder

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A frame consists of a magic number (4 bytes), the length of the body (4), the
// sequence number (8), a checksum over these fields and the body (8), and the
// body. Integers are big-endian.
const (
	frameMagic       uint32 = 0x4356_4c31 // "CVL1"
	lengthOffset            = 4
	sequenceOffset          = 8
	checksumOffset          = 16
	frameHeaderBytes        = 24
	maxFrameBytes           = 1 << 30
)

// sequence is the number of a frame. It increases by one from frame to frame, also
// from one segment to the next.
type sequence uint64

// body is the content of a frame of the log, encoded as CBOR.
type body struct {
	HardState *HardState `cbor:",omitempty"`
	// Begin is set in the first frame of a segment. It is the position of the last
	// entry before the segment.
	Begin *Position `cbor:",omitempty"`
	// Reset removes all entries from the log, which continues after this position.
	Reset   *Position `cbor:",omitempty"`
	Entries []Entry   `cbor:",omitempty"`
	// Committed is the index up to which the log is known to be committed, or 0.
	Committed Index `cbor:",omitempty"`
}

var (
	bodyEncoder = mustEncoder()
	bodyDecoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func appendFrame(dst []byte, number sequence, content []byte) []byte {
	start := len(dst)
	dst = binary.BigEndian.AppendUint32(dst, frameMagic)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(content)))
	dst = binary.BigEndian.AppendUint64(dst, uint64(number))
	dst = binary.BigEndian.AppendUint64(dst, checksum(dst[start:start+checksumOffset], content))
	return append(dst, content...)
}

func checksum(header, content []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(header)
	_, _ = h.Write(content)
	return h.Sum64()
}

// readFrame returns the sequence number, the encoded body and the size of the frame
// at the start of data. ok is false if the frame is incomplete or damaged.
func readFrame(data []byte) (number sequence, content []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, false
	}
	length := binary.BigEndian.Uint32(data[lengthOffset:])
	if length > maxFrameBytes || int(length) > len(data)-frameHeaderBytes {
		return 0, nil, 0, false
	}
	size = frameHeaderBytes + int(length)
	content = data[frameHeaderBytes:size]
	if checksum(data[:checksumOffset], content) != binary.BigEndian.Uint64(data[checksumOffset:]) {
		return 0, nil, 0, false
	}
	return sequence(binary.BigEndian.Uint64(data[sequenceOffset:])), content, size, true
}

// holdsLaterFrame reports whether data contains an intact frame with a sequence
// number above after.
func holdsLaterFrame(data []byte, after sequence) bool {
	var magic [4]byte
	binary.BigEndian.PutUint32(magic[:], frameMagic)
	for {
		offset := bytes.Index(data, magic[:])
		if offset < 0 {
			return false
		}
		data = data[offset:]
		if number, _, _, ok := readFrame(data); ok && number > after {
			return true
		}
		data = data[1:]
	}
}
