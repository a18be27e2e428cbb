package recorder

import (
	"fmt"
	"path/filepath"
	"strings"
)

const (
	snapshotPrefix  = "Snapshot-"
	temporarySuffix = ".tmp"
)

func snapshotName(index Index) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, uint64(index))
}

// stageSnapshot writes and syncs the snapshot under its temporary name.
func (r *Recorder) stageSnapshot(s Snapshot) error {
	content, err := bodyEncoder.Marshal(s)
	if err != nil {
		return err
	}
	return r.stageFile(snapshotName(s.Position.Index), appendFrame(nil, 0, content))
}

// removeOlderSnapshots removes the snapshots before the newest one.
func (r *Recorder) removeOlderSnapshots() error {
	names, err := r.fs.List(r.cfg.Folder)
	if err != nil {
		return diskError(err, "listing of the data folder")
	}
	newest := snapshotName(r.snapshot.Index)
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporarySuffix) && name < newest {
			if err := r.fs.Remove(filepath.Join(r.cfg.Folder, name)); err != nil {
				return diskError(err, "removal of "+name)
			}
		}
	}
	return nil
}

// loadSnapshot returns the newest snapshot, or nil if there is none.
func (r *Recorder) loadSnapshot(names []string) (*Snapshot, error) {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			newest = max(newest, name)
		}
	}
	if newest == "" {
		return nil, nil
	}
	path := filepath.Join(r.cfg.Folder, newest)
	data, err := r.fs.Read(path)
	if err != nil {
		return nil, diskError(err, "read of "+newest)
	}
	_, content, size, ok := readFrame(data)
	if !ok || size != len(data) {
		return nil, corruptError("snapshot %s is damaged", path)
	}
	var s Snapshot
	if err := bodyDecoder.Unmarshal(content, &s); err != nil {
		return nil, corruptError("snapshot %s is damaged: %v", path, err)
	}
	if snapshotName(s.Position.Index) != newest {
		return nil, corruptError("snapshot %s holds the state after entry %d, which does not match its name", path, s.Position.Index)
	}
	s.At = s.At.UTC()
	r.snapshot = s.Position
	return &s, nil
}

// replaceFile writes the whole file under a temporary name, syncs it, and only then
// renames it, so that a crash never leaves an incomplete file under its final name.
func (r *Recorder) replaceFile(name string, data []byte) error {
	if err := r.stageFile(name, data); err != nil {
		return err
	}
	if err := r.renameStaged(name); err != nil {
		return err
	}
	if err := r.fs.SyncFolder(r.cfg.Folder); err != nil {
		return diskError(err, "sync of the data folder")
	}
	return nil
}

// stageFile writes and syncs the whole file under a temporary name.
func (r *Recorder) stageFile(name string, data []byte) error {
	f, err := r.fs.Create(filepath.Join(r.cfg.Folder, name+temporarySuffix))
	if err != nil {
		return diskError(err, "creation of "+name)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return diskError(err, "write of "+name)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return diskError(err, "sync of "+name)
	}
	if err := f.Close(); err != nil {
		return diskError(err, "close of "+name)
	}
	return nil
}

// renameStaged gives a staged file its final name. The caller syncs the folder.
func (r *Recorder) renameStaged(name string) error {
	path := filepath.Join(r.cfg.Folder, name)
	if err := r.fs.Rename(path+temporarySuffix, path); err != nil {
		return diskError(err, "rename of "+name)
	}
	return nil
}
