package recorder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Each segment has a mark file, which records how much of the segment was synced.
// It is a sequence of records, each with the number of synced bytes and a checksum
// of that number. A record is written after the sync and is not synced itself, so
// it may be lost, but it never states more bytes than were synced.
const (
	markValueBytes  = 8
	markRecordBytes = 16
)

func appendMark(dst []byte, synced int64) []byte {
	start := len(dst)
	dst = binary.BigEndian.AppendUint64(dst, uint64(synced))
	return binary.BigEndian.AppendUint64(dst, xxhash.Sum64(dst[start:]))
}

// readMark returns the highest number of synced bytes in the valid records of data,
// or 0 if there is none.
func readMark(data []byte) int64 {
	var highest int64
	for len(data) >= markRecordBytes {
		value, sum := data[:markValueBytes], data[markValueBytes:markRecordBytes]
		if xxhash.Sum64(value) == binary.BigEndian.Uint64(sum) {
			highest = max(highest, int64(binary.BigEndian.Uint64(value)))
		}
		data = data[markRecordBytes:]
	}
	return highest
}
