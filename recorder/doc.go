// Package recorder stores the log, the snapshots and the hard state of one control
// replica on its disk.
//
// Everything that a call wrote is synced when it returns without an error. A failed
// write or sync stops the recorder for good: every later call returns that error,
// since the content of a disk after a failed sync is unknown.
//
// The log is a sequence of segment files. A segment is a sequence of frames, each
// with its length, its sequence number and a checksum. One call of Append writes
// one frame and syncs it before the next begins, so at most the last frame can be
// torn. A mark file beside each segment records how many of its bytes were synced.
// Open drops a bad frame only if it lies after those bytes, in the last segment,
// and no intact frame follows it. Any other damage is an error of kind Corrupt, and
// the replica must not start.
//
// Each disk has an identity, which is created at its first start and never changes.
// A replacement disk gets a new one.
//
// # Usage
//
//	rec, err := recorder.Open(recorder.OSFileSystem{}, recorder.Config{Folder: "data/control", Name: "a"}, rand.Reader)
//	state := rec.State()
//	err = rec.Append(recorder.Batch{HardState: &hardState, Entries: entries})
//	err = rec.SaveSnapshot(snapshot)
package recorder
