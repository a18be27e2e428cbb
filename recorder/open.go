package recorder

import (
	"io"
	"path/filepath"
	"strings"
)

// Open reads the data folder, or makes it. It returns an error of kind Corrupt
// where anything that was synced is damaged or missing.
func Open(fs FileSystem, cfg Config, random io.Reader) (*Recorder, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	if err := fs.MakeFolder(cfg.Folder); err != nil {
		return nil, failed(err, "creation of the data folder")
	}
	lock, err := fs.Lock(filepath.Join(cfg.Folder, lockFile))
	if err != nil {
		return nil, err
	}
	r := &Recorder{fs: fs, cfg: cfg, lock: lock}
	if err := r.load(random); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return r, nil
}

func (r *Recorder) load(random io.Reader) error {
	if err := r.removeTemporaryFiles(); err != nil {
		return err
	}
	names, err := r.fs.List(r.cfg.Folder)
	if err != nil {
		return failed(err, "list of the data folder")
	}
	if err := r.loadIdentity(names, random); err != nil {
		return err
	}
	snapshot, err := r.loadSnapshot(names)
	if err != nil {
		return err
	}
	log, err := r.loadSegments(names)
	if err != nil {
		return err
	}
	reset, err := r.join(snapshot, log)
	if err != nil {
		return err
	}
	if err := r.openSegment(reset); err != nil {
		return err
	}
	return r.compact()
}

// join puts snapshot and log together. A log that lacks the snapshot's entry was
// left by an interrupted installation of the snapshot, and is reset.
func (r *Recorder) join(snapshot *Snapshot, log *replay) (reset *Position, err error) {
	r.hardState = log.hardState
	r.next = log.next
	r.loaded = State{HardState: log.hardState, Snapshot: snapshot, Entries: log.entries}
	if snapshot == nil {
		if log.begin.Index > 0 {
			return nil, corrupt("folder %s lacks the snapshot of entry %d", r.cfg.Folder, log.begin.Index)
		}
		r.noteEntries(log.entries)
		return nil, nil
	}
	position := snapshot.Position
	if len(r.segments) == 0 {
		return nil, corrupt("folder %s holds a snapshot but no segment of the log", r.cfg.Folder)
	}
	if log.begin.Index > position.Index {
		return nil, corrupt("log in %s begins after entry %d, but the snapshot is of entry %d",
			r.cfg.Folder, log.begin.Index, position.Index)
	}
	if at, ok := log.at(position.Index); ok && at == position {
		r.loaded.Entries = log.entries[position.Index-log.begin.Index:]
		r.noteEntries(r.loaded.Entries)
		return nil, nil
	}
	r.loaded.Entries = nil
	return &position, nil
}

// last returns the position of the last entry.
func (r *Recorder) last() Position {
	if len(r.tail) == 0 {
		return r.snapshot
	}
	return r.tail[len(r.tail)-1]
}

// noteEntries puts the positions in place of any from the first index on.
func (r *Recorder) noteEntries(entries []Entry) {
	for _, e := range entries {
		r.tail = append(r.tail[:e.Index-r.snapshot.Index-1], e.Position())
	}
}

func (r *Recorder) removeTemporaryFiles() error {
	names, err := r.fs.List(r.cfg.Folder)
	if err != nil {
		return failed(err, "list of the data folder")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := r.fs.Remove(filepath.Join(r.cfg.Folder, name)); err != nil {
			return failed(err, "removal of "+name)
		}
	}
	return nil
}
