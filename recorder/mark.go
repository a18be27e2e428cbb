package recorder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A mark file lies beside each segment. It is a sequence of records, each the
// number of bytes of the segment that were synced and a checksum of that
// number. A record is written after the sync that it tells of and is itself
// not synced, so it may be lost, but it never claims too much.
const (
	markValueBytes  = 8
	markRecordBytes = 16
)

func appendMark(dst []byte, synced int64) []byte {
	start := len(dst)
	dst = binary.BigEndian.AppendUint64(dst, uint64(synced))
	return binary.BigEndian.AppendUint64(dst, xxhash.Sum64(dst[start:]))
}

// readMark returns the highest number of synced bytes that data tells of.
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
