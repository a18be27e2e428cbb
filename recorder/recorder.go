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

// DefaultSegmentBytes is the size after which the log goes on in a new segment.
const DefaultSegmentBytes identifier.ByteCount = 4 << 20

const lockFile = "Lock"

// Config says where a recorder keeps its files.
type Config struct {
	// Folder is the data folder. The recorder owns everything in it.
	Folder string
	// Name is the replica's name in the settings. It outlives a lost disk.
	Name string
	// SegmentBytes is the size of a segment, or 0 for DefaultSegmentBytes.
	SegmentBytes identifier.ByteCount
}

// Batch is what one call of Append makes last, as a whole.
type Batch struct {
	HardState *HardState
	// Entries follow each other. They take the place of any from their first index on.
	Entries []Entry
}

// State is what a recorder holds when it is opened.
type State struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries are those after Snapshot.
	Entries []Entry
}

// Recorder keeps the state of one replica on a disk. It is safe for concurrent use.
type Recorder struct {
	fs      FileSystem
	cfg     Config
	replica identifier.Replica

	mu        sync.Mutex
	err       error
	lock      io.Closer
	loaded    State
	hardState HardState
	snapshot  Position
	// tail holds the positions of the entries after snapshot.
	tail     []Position
	segments []segment
	next     sequence
	file     File
	mark     File
	written  int64
}

// Replica returns the identity of the disk.
func (r *Recorder) Replica() identifier.Replica {
	return r.replica
}

// Name returns the replica's name in the settings.
func (r *Recorder) Name() string {
	return r.cfg.Name
}

// State returns what was on the disk when it was opened. The second call and
// later ones return an empty state, so that the memory can be freed.
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

// Append makes the batch last. Without an error the batch is synced. A call that
// is cut short leaves what was there before, all of the batch, or its hard state
// with the replaced entries gone.
func (r *Recorder) Append(b Batch) error {
	return r.do(func() error {
		if err := r.checkBatch(b); err != nil {
			return err
		}
		if b.HardState != nil {
			r.hardState = *b.HardState
		}
		if err := r.truncate(b.Entries); err != nil {
			return err
		}
		r.noteEntries(b.Entries)
		if err := r.write(body{HardState: b.HardState, Entries: b.Entries}); err != nil {
			return err
		}
		if r.written < int64(r.cfg.SegmentBytes) {
			return nil
		}
		return r.rotate(nil)
	})
}

// checkBatch refuses entries that would leave a gap or replace the snapshot.
func (r *Recorder) checkBatch(b Batch) error {
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0].Index
	if first <= r.snapshot.Index || first > r.last().Index+1 {
		return explainer.New(explainer.Internal,
			fmt.Sprintf("entry %d does not follow the log from %d to %d", first, r.snapshot.Index, r.last().Index), "")
	}
	return nil
}

// truncate begins a new segment where entries of earlier segments are replaced,
// so that a segment never depends on what an earlier one holds beyond its begin.
func (r *Recorder) truncate(entries []Entry) error {
	begin := r.segments[len(r.segments)-1].begin
	if len(entries) == 0 || entries[0].Index > begin {
		return nil
	}
	r.tail = r.tail[:entries[0].Index-r.snapshot.Index-1]
	return r.rotate(nil)
}

// SaveSnapshot makes a snapshot of the replica's own applied entries last and
// removes the segments that it covers.
func (r *Recorder) SaveSnapshot(s Snapshot) error {
	return r.do(func() error {
		if s.Position.Index <= r.snapshot.Index {
			return nil
		}
		if s.Position.Index > r.last().Index {
			return explainer.New(explainer.Internal, "a snapshot goes beyond the log", "")
		}
		tail := slices.Clone(r.tail[s.Position.Index-r.snapshot.Index:])
		if err := r.writeSnapshot(s); err != nil {
			return err
		}
		r.tail = tail
		if err := r.rotate(nil); err != nil {
			return err
		}
		return r.compact()
	})
}

// InstallSnapshot makes another replica's snapshot last in place of the whole log.
func (r *Recorder) InstallSnapshot(s Snapshot) error {
	return r.do(func() error {
		if err := r.writeSnapshot(s); err != nil {
			return err
		}
		r.tail = nil
		if err := r.rotate(&s.Position); err != nil {
			return err
		}
		return r.compact()
	})
}

// Close ends the recorder. Later calls return an error.
func (r *Recorder) Close() error {
	return r.do(func() error {
		err := r.closeSegment()
		r.err = explainer.New(explainer.Unavailable, "recorder is closed", "")
		if lockErr := r.lock.Close(); err == nil {
			err = lockErr
		}
		return err
	})
}

// do runs one change and stops the recorder where it fails.
func (r *Recorder) do(change func() error) error {
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

// write adds one frame to the segment, syncs it and only then marks it as synced.
func (r *Recorder) write(b body) error {
	content, err := bodyEncoder.Marshal(b)
	if err != nil {
		return err
	}
	data := appendFrame(make([]byte, 0, frameHeadBytes+len(content)), r.next, content)
	if _, err := r.file.Write(data); err != nil {
		return failed(err, "write of the log")
	}
	if err := r.file.Sync(); err != nil {
		return failed(err, "sync of the log")
	}
	r.next++
	r.written += int64(len(data))
	if _, err := r.mark.Write(appendMark(nil, r.written)); err != nil {
		return failed(err, "write of the mark of the log")
	}
	return nil
}

func (r *Recorder) rotate(reset *Position) error {
	if err := r.closeSegment(); err != nil {
		return err
	}
	return r.openSegment(reset)
}

func (r *Recorder) closeSegment() error {
	if err := r.mark.Sync(); err != nil {
		return failed(err, "sync of the mark of the log")
	}
	if err := r.mark.Close(); err != nil {
		return failed(err, "close of the mark of the log")
	}
	if err := r.file.Close(); err != nil {
		return failed(err, "close of the log")
	}
	return nil
}

// openSegment begins a new segment with a frame that holds all that later
// frames build on, so that earlier segments can go.
func (r *Recorder) openSegment(reset *Position) error {
	number := uint64(1)
	if len(r.segments) > 0 {
		number = r.segments[len(r.segments)-1].number + 1
	}
	file, err := r.fs.Create(filepath.Join(r.cfg.Folder, segmentName(number)))
	if err != nil {
		return failed(err, "creation of a segment")
	}
	mark, err := r.fs.Create(filepath.Join(r.cfg.Folder, markName(number)))
	if err != nil {
		_ = file.Close()
		return failed(err, "creation of a mark")
	}
	r.file, r.mark, r.written = file, mark, 0
	hardState, begin := r.hardState, r.last()
	if reset != nil {
		begin = *reset
	}
	if err := r.fs.SyncFolder(r.cfg.Folder); err != nil {
		return failed(err, "sync of the data folder")
	}
	if err := r.write(body{HardState: &hardState, Begin: &begin, Reset: reset}); err != nil {
		return err
	}
	r.segments = append(r.segments, segment{number: number, begin: begin.Index})
	return nil
}

// compact removes the segments whose entries the snapshot all covers.
func (r *Recorder) compact() error {
	for len(r.segments) > 1 && r.segments[1].begin <= r.snapshot.Index {
		number := r.segments[0].number
		for _, name := range []string{markName(number), segmentName(number)} {
			if err := r.fs.Remove(filepath.Join(r.cfg.Folder, name)); err != nil {
				return failed(err, "removal of "+name)
			}
		}
		// Synced one by one: a gap between segments must not show after a crash.
		if err := r.fs.SyncFolder(r.cfg.Folder); err != nil {
			return failed(err, "sync of the data folder")
		}
		r.segments = r.segments[1:]
	}
	return nil
}
