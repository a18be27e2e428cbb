package recorder

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// DefaultSegmentBytes is the default size at which a new segment is started.
const DefaultSegmentBytes identifier.ByteCount = 4 << 20

const lockFile = "Lock"

// Config configures a Recorder.
type Config struct {
	// Folder is the data folder. The recorder owns everything in it.
	Folder string
	// Name is the replica's name in the settings. It stays the same when the disk is
	// replaced.
	Name string
	// SegmentBytes is the size at which a new segment is started, or 0 for
	// DefaultSegmentBytes.
	SegmentBytes identifier.ByteCount
}

// Batch holds what one call of Append writes, as a single frame.
type Batch struct {
	HardState *HardState
	// Entries are consecutive. They replace all stored entries from the index of the
	// first one on.
	Entries []Entry
	// Committed is the index up to which the log is known to be committed, or 0 if that is
	// not known.
	Committed Index
}

// State is what the data folder holds when it is opened.
type State struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries are those after Snapshot.
	Entries []Entry
	// Committed is the highest index that is known to be committed: that of Snapshot, or a
	// later one that a Batch gave.
	Committed Index
}

// Recorder stores the state of one replica on a disk. It is safe for concurrent use.
type Recorder struct {
	fs      FileSystem
	cfg     Config
	replica identifier.Replica

	mu        sync.Mutex
	err       error
	closed    bool
	lock      io.Closer
	loaded    State
	hardState HardState
	snapshot  Position
	// tail holds the positions of the entries after snapshot.
	tail         []Position
	segments     []segment
	nextSequence sequence
	// file is the last segment, mark its mark file and written the size of file.
	file    File
	mark    File
	written int64
}

// Replica returns the identity of the disk.
func (r *Recorder) Replica() identifier.Replica {
	return r.replica
}

// Name returns the replica's name in the settings.
func (r *Recorder) Name() string {
	return r.cfg.Name
}

// State returns what the data folder held when it was opened. Only the first call
// does so; later ones return an empty state, so that the memory can be freed.
func (r *Recorder) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.loaded
	r.loaded = State{}
	return state
}

// Err returns the error that stopped the recorder, or nil while it works.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Append writes the batch and syncs it. A call that is interrupted leaves the
// previous state, the whole batch, or the batch's hard state and the log without
// the entries that the batch replaces.
func (r *Recorder) Append(b Batch) error {
	return r.update(func() error {
		if err := r.checkBatch(b); err != nil {
			return err
		}
		if b.HardState != nil {
			r.hardState = *b.HardState
		}
		if err := r.truncate(b.Entries); err != nil {
			return err
		}
		r.appendTail(b.Entries)
		if err := r.write(body{HardState: b.HardState, Entries: b.Entries, Committed: b.Committed}); err != nil {
			return err
		}
		if r.written < int64(r.cfg.SegmentBytes) {
			return nil
		}
		return r.rotate(nil)
	})
}

// checkBatch returns an error for entries that would leave a gap in the log or
// replace entries that the snapshot covers.
func (r *Recorder) checkBatch(b Batch) error {
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0].Index
	if first <= r.snapshot.Index || first > r.lastPosition().Index+1 {
		return explainer.New(explainer.Internal,
			fmt.Sprintf("entry %d does not follow the log from %d to %d", first, r.snapshot.Index, r.lastPosition().Index), "")
	}
	return nil
}

// truncate starts a new segment if the entries replace some of an earlier segment,
// so that a segment never depends on entries of earlier ones after its own begin.
func (r *Recorder) truncate(entries []Entry) error {
	begin := r.segments[len(r.segments)-1].begin
	if len(entries) == 0 || entries[0].Index > begin {
		return nil
	}
	r.tail = r.tail[:entries[0].Index-r.snapshot.Index-1]
	return r.rotate(nil)
}

// SaveSnapshot stores a snapshot of the replica's own applied entries and removes
// the segments that it covers. A snapshot that is not newer than the stored one is
// ignored.
func (r *Recorder) SaveSnapshot(s Snapshot) error {
	for _, step := range r.SnapshotSteps(s) {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// SnapshotSteps returns the steps of SaveSnapshot, which must be called in order. Each
// takes few syncs, and other calls may come between them, so that entries need not wait
// for the whole snapshot.
func (r *Recorder) SnapshotSteps(s Snapshot) []func() error {
	return []func() error{
		func() error { return r.update(func() error { return r.stageOwn(s) }) },
		func() error { return r.update(func() error { return r.publishOwn(s) }) },
		func() error { return r.update(r.compact) },
	}
}

// stageOwn writes the snapshot under its temporary name. If it is never published, Open
// removes the file.
func (r *Recorder) stageOwn(s Snapshot) error {
	if s.Position.Index <= r.snapshot.Index {
		return nil
	}
	if s.Position.Index > r.lastPosition().Index {
		return explainer.New(explainer.Internal, "snapshot is newer than the last entry of the log", "")
	}
	return r.stageSnapshot(s)
}

// publishOwn gives the staged snapshot its final name and starts a new segment. One sync of
// the folder covers both, since neither needs the other: what the snapshot covers is
// removed only by the next step.
func (r *Recorder) publishOwn(s Snapshot) error {
	if s.Position.Index <= r.snapshot.Index {
		return nil
	}
	tail := slices.Clone(r.tail[s.Position.Index-r.snapshot.Index:])
	if err := r.renameStaged(snapshotName(s.Position.Index)); err != nil {
		return err
	}
	r.snapshot, r.tail = s.Position, tail
	return r.rotate(nil)
}

// InstallSnapshot stores a snapshot of another replica, which replaces the whole
// log.
func (r *Recorder) InstallSnapshot(s Snapshot) error {
	return r.update(func() error {
		if err := r.stageSnapshot(s); err != nil {
			return err
		}
		if err := r.renameStaged(snapshotName(s.Position.Index)); err != nil {
			return err
		}
		r.snapshot, r.tail = s.Position, nil
		if err := r.rotate(&s.Position); err != nil {
			return err
		}
		return r.compact()
	})
}

// Close closes the files and releases the data folder, whether or not the recorder works. It returns the error that
// stopped the recorder, if there is one. Later calls return an error.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return r.err
	}
	r.closed = true
	err := r.err
	if err == nil {
		err = r.syncMark()
	}
	if r.file != nil { // Open has come that far
		if closeErr := r.closeSegment(); err == nil {
			err = closeErr
		}
	}
	if lockErr := r.lock.Close(); err == nil {
		err = lockErr
	}
	r.err = err
	if err == nil {
		r.err = explainer.New(explainer.Unavailable, "recorder is closed", "")
	}
	return err
}

func (r *Recorder) syncMark() error {
	if err := r.mark.Sync(); err != nil {
		return diskError(err, "sync of the mark file of the log")
	}
	return nil
}

// update runs change while it holds r.mu. An error stops the recorder for good.
func (r *Recorder) update(change func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	err := change()
	if err != nil {
		r.err = err
	}
	return err
}

// write appends one frame to the current segment, syncs it, and only then writes
// the number of synced bytes to the mark file.
func (r *Recorder) write(b body) error {
	content, err := bodyEncoder.Marshal(b)
	if err != nil {
		return err
	}
	data := appendFrame(make([]byte, 0, frameHeaderBytes+len(content)), r.nextSequence, content)
	if _, err := r.file.Write(data); err != nil {
		return diskError(err, "write of the log")
	}
	if err := r.file.Sync(); err != nil {
		return diskError(err, "sync of the log")
	}
	r.nextSequence++
	r.written += int64(len(data))
	if _, err := r.mark.Write(appendMark(nil, r.written)); err != nil {
		return diskError(err, "write of the mark file of the log")
	}
	return nil
}

func (r *Recorder) rotate(reset *Position) error {
	if err := r.closeSegment(); err != nil {
		return err
	}
	return r.openSegment(reset)
}

// closeSegment closes the files of the last segment. Its marks need no sync before the next
// segment starts: bytes that are missing before a later segment are found by the numbers of
// the frames.
func (r *Recorder) closeSegment() error {
	markErr, fileErr := r.mark.Close(), r.file.Close()
	if markErr != nil {
		return diskError(markErr, "close of the mark file of the log")
	}
	if fileErr != nil {
		return diskError(fileErr, "close of the log")
	}
	return nil
}

// openSegment starts a new segment. Its first frame holds the hard state and the
// begin position, all that later frames depend on, so that earlier segments can be
// removed. If reset is set, the segment begins there instead of at the end of the
// log.
func (r *Recorder) openSegment(reset *Position) error {
	number := uint64(1)
	if len(r.segments) > 0 {
		number = r.segments[len(r.segments)-1].number + 1
	}
	file, err := r.fs.Create(filepath.Join(r.cfg.Folder, segmentName(number)))
	if err != nil {
		return diskError(err, "creation of a segment")
	}
	mark, err := r.fs.Create(filepath.Join(r.cfg.Folder, markName(number)))
	if err != nil {
		_ = file.Close()
		return diskError(err, "creation of a mark file")
	}
	r.file, r.mark, r.written = file, mark, 0
	hardState, begin := r.hardState, r.lastPosition()
	if reset != nil {
		begin = *reset
	}
	if err := r.fs.SyncFolder(r.cfg.Folder); err != nil {
		return diskError(err, "sync of the data folder")
	}
	if err := r.write(body{HardState: &hardState, Begin: &begin, Reset: reset}); err != nil {
		return err
	}
	r.segments = append(r.segments, segment{number: number, begin: begin.Index})
	return nil
}

// compact removes the older snapshots and the segments whose entries are all covered by the
// newest one, which must be synced under its final name.
func (r *Recorder) compact() error {
	if err := r.removeOlderSnapshots(); err != nil {
		return err
	}
	for len(r.segments) > 1 && r.segments[1].begin <= r.snapshot.Index {
		number := r.segments[0].number
		for _, name := range []string{markName(number), segmentName(number)} {
			if err := r.fs.Remove(filepath.Join(r.cfg.Folder, name)); err != nil {
				return diskError(err, "removal of "+name)
			}
		}
		// Sync after each segment, so that a crash cannot leave a gap between segments.
		if err := r.fs.SyncFolder(r.cfg.Folder); err != nil {
			return diskError(err, "sync of the data folder")
		}
		r.segments = r.segments[1:]
	}
	return nil
}
