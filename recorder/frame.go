package recorder

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A frame is magic (4 bytes), length of the body (4), sequence number (8),
// checksum of the head before it and of the body (8), then the body.
const (
	frameMagic     uint32 = 0x4356_4c31 // "CVL1"
	lengthAt              = 4
	sequenceAt            = 8
	checksumAt            = 16
	frameHeadBytes        = 24
	maxFrameBytes         = 1 << 30
)

// sequence numbers the frames of a log. It rises by one over all segments.
type sequence uint64

// body is what a frame of the log holds.
type body struct {
	HardState *HardState `cbor:",omitempty"`
	// Begin is set in the first frame of a segment: the end of the log before it.
	Begin *Position `cbor:",omitempty"`
	// Reset empties the log, which goes on after this position.
	Reset   *Position `cbor:",omitempty"`
	Entries []Entry   `cbor:",omitempty"`
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
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
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
	dst = binary.BigEndian.AppendUint64(dst, checksum(dst[start:start+checksumAt], content))
	return append(dst, content...)
}

func checksum(head, content []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(head)
	_, _ = h.Write(content)
	return h.Sum64()
}

// readFrame returns the first frame of data. ok is false where it is not whole.
func readFrame(data []byte) (number sequence, content []byte, size int, ok bool) {
	if len(data) < frameHeadBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, false
	}
	length := binary.BigEndian.Uint32(data[lengthAt:])
	if length > maxFrameBytes || int(length) > len(data)-frameHeadBytes {
		return 0, nil, 0, false
	}
	size = frameHeadBytes + int(length)
	content = data[frameHeadBytes:size]
	if checksum(data[:checksumAt], content) != binary.BigEndian.Uint64(data[checksumAt:]) {
		return 0, nil, 0, false
	}
	return sequence(binary.BigEndian.Uint64(data[sequenceAt:])), content, size, true
}

// holdsLaterFrame reports whether data holds a whole frame numbered above after.
func holdsLaterFrame(data []byte, after sequence) bool {
	var magic [4]byte
	binary.BigEndian.PutUint32(magic[:], frameMagic)
	for {
		at := bytes.Index(data, magic[:])
		if at < 0 {
			return false
		}
		data = data[at:]
		if number, _, _, ok := readFrame(data); ok && number > after {
			return true
		}
		data = data[1:]
	}
}
