// Package recorder keeps the log, the snapshots and the hard state of one
// control replica on its disk.
//
// Everything that a call returns without an error is synced. A failed write or
// sync stops the recorder for good: every later call returns that error, since
// what a disk holds after a failed sync is not known.
//
// The log is a sequence of segment files. A segment is a sequence of frames,
// each with its length, its sequence number and a checksum. One call of Append
// writes one frame and syncs it before the next begins, so at most the last
// frame can be torn. A file beside the log holds how far it was synced. A bad
// frame is dropped only behind that mark and with no whole frame after it;
// any other damage is an error of kind Corrupt, and the replica must not start.
//
// A disk is named by a Replica made at its first start. It never changes, and a
// new disk gets a new one.
//
// # Usage
//
//	rec, err := recorder.Open(recorder.Disk{}, recorder.Config{Folder: "data/control", Name: "a"}, rand.Reader)
//	state := rec.State()
//	err = rec.Append(recorder.Batch{HardState: &hardState, Entries: entries})
//	err = rec.SaveSnapshot(snapshot)
package recorder
