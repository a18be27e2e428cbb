package recorder

import (
	"io"
	"path/filepath"
	"strings"
)

// Open opens the data folder, or creates it. It returns an error of kind Corrupt if
// any data that was synced is damaged or missing.
func Open(fs FileSystem, cfg Config, random io.Reader) (*Recorder, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	if err := fs.MakeFolder(cfg.Folder); err != nil {
		return nil, diskError(err, "creation of the data folder")
	}
	lock, err := fs.Lock(filepath.Join(cfg.Folder, lockFile))
	if err != nil {
		return nil, err
	}
	r := &Recorder{fs: fs, cfg: cfg, lock: lock}
	if err := r.load(random); err != nil {
		r.err = err
		return nil, r.Close()
	}
	return r, nil
}

func (r *Recorder) load(random io.Reader) error {
	if err := r.removeTemporaryFiles(); err != nil {
		return err
	}
	names, err := r.fs.List(r.cfg.Folder)
	if err != nil {
		return diskError(err, "listing of the data folder")
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
	reset, err := r.reconcile(snapshot, log)
	if err != nil {
		return err
	}
	return r.openSegment(reset)
}

// reconcile combines the snapshot and the log into the loaded state. A log without
// the entry of the snapshot is the result of an interrupted installation of that
// snapshot. The log must then be reset to the returned position.
func (r *Recorder) reconcile(snapshot *Snapshot, log *replay) (reset *Position, err error) {
	r.hardState = log.hardState
	r.nextSequence = log.nextSequence
	r.loaded = State{HardState: log.hardState, Snapshot: snapshot, Entries: log.entries, Committed: log.committed}
	if snapshot == nil {
		if log.begin.Index > 0 {
			return nil, corruptError("folder %s lacks the snapshot of entry %d", r.cfg.Folder, log.begin.Index)
		}
		r.appendTail(log.entries)
		return nil, nil
	}
	position := snapshot.Position
	r.loaded.Committed = max(r.loaded.Committed, position.Index)
	if len(r.segments) == 0 {
		return nil, corruptError("folder %s holds a snapshot but no segment of the log", r.cfg.Folder)
	}
	if log.begin.Index > position.Index {
		return nil, corruptError("log in %s begins after entry %d, but the snapshot is of entry %d",
			r.cfg.Folder, log.begin.Index, position.Index)
	}
	if found, ok := log.positionAt(position.Index); ok && found == position {
		r.loaded.Entries = log.entries[position.Index-log.begin.Index:]
		r.appendTail(r.loaded.Entries)
		return nil, nil
	}
	r.loaded.Entries = nil
	return &position, nil
}

// lastPosition returns the position of the last entry, or that of the snapshot if
// no entry follows it.
func (r *Recorder) lastPosition() Position {
	if len(r.tail) == 0 {
		return r.snapshot
	}
	return r.tail[len(r.tail)-1]
}

// appendTail adds the positions of the entries to the tail and removes those that
// the entries replace.
func (r *Recorder) appendTail(entries []Entry) {
	for _, e := range entries {
		r.tail = append(r.tail[:e.Index-r.snapshot.Index-1], e.Position())
	}
}

func (r *Recorder) removeTemporaryFiles() error {
	names, err := r.fs.List(r.cfg.Folder)
	if err != nil {
		return diskError(err, "listing of the data folder")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := r.fs.Remove(filepath.Join(r.cfg.Folder, name)); err != nil {
			return diskError(err, "removal of "+name)
		}
	}
	return nil
}
