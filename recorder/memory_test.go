package recorder_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"syscall"

	"celeryvalve/recorder"
)

var errDisk = errors.New("input/output error")

// memFS is a file system in memory. It loses unsynced data at a crash.
type memFS struct {
	files   map[string]*memFile
	durable map[string]*memFile
	// changes are the name changes since the last SyncFolder, in order.
	changes []nameChange
	// capacity is the number of bytes that still fit, or negative for no limit.
	capacity int
	// operations counts the changes and syncs. After failAt of them all further ones
	// fail; with a negative failAt none does.
	operations int
	failAt     int
	// syncs counts the syncs of files and of the folder.
	syncs int
	// open holds the files that are open for writing and the locks.
	open map[io.Closer]bool
}

// nameChange adds a name to a file and removes a name. Either may be empty.
type nameChange struct {
	added, removed string
	file           *memFile
}

// nameSurvival selects the name changes that survive a crash without SyncFolder.
type nameSurvival int

const (
	keepNoNames nameSurvival = iota
	keepAllNames
	keepFirstName
	keepLastName
	nameSurvivalModes
)

func (m *memFS) surviving(mode nameSurvival) []nameChange {
	n := len(m.changes)
	switch {
	case mode == keepNoNames || n == 0:
		return nil
	case mode == keepFirstName:
		return m.changes[:1]
	case mode == keepLastName:
		return m.changes[n-1:]
	default:
		return m.changes
	}
}

func (m *memFS) change(c nameChange) {
	m.changes = append(m.changes, c)
	apply(m.files, c)
}

func apply(files map[string]*memFile, c nameChange) {
	if c.removed != "" {
		delete(files, c.removed)
	}
	if c.added != "" {
		files[c.added] = c.file
	}
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: make(map[string]*memFile), durable: make(map[string]*memFile), open: make(map[io.Closer]bool), capacity: -1, failAt: -1}
}

// crash returns the file system after a crash. Of the unsynced bytes of each file
// the first kept/parts survive, and of the unsynced name changes those that mode
// selects.
func (m *memFS) crash(kept, parts int, mode nameSurvival) *memFS {
	after := newMemFS()
	durable := maps.Clone(m.durable)
	for _, c := range m.surviving(mode) {
		apply(durable, c)
	}
	for name, f := range durable {
		data := slices.Clone(f.synced)
		if len(f.data) > len(f.synced) {
			unsynced := f.data[len(f.synced):]
			data = append(data, unsynced[:len(unsynced)*kept/parts]...)
		}
		g := &memFile{fs: after, data: data, synced: slices.Clone(data)}
		after.files[name], after.durable[name] = g, g
	}
	return after
}

func (m *memFS) clone() *memFS { return m.crash(1, 1, keepNoNames) }

func (m *memFS) countOperation() error {
	m.operations++
	if m.failAt >= 0 && m.operations > m.failAt {
		return errDisk
	}
	return nil
}

func (m *memFS) MakeFolder(string) error { return nil }

func (m *memFS) List(folder string) ([]string, error) {
	var names []string
	for path := range m.files {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Read(path string) ([]byte, error) {
	f, ok := m.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Create(path string) (recorder.File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	f := &memFile{fs: m}
	m.change(nameChange{added: path, file: f})
	m.open[f] = true
	return f, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.change(nameChange{added: to, removed: from, file: m.files[from]})
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.change(nameChange{removed: path})
	return nil
}

func (m *memFS) SyncFolder(string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.syncs++
	m.durable = maps.Clone(m.files)
	m.changes = nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	l := &memLock{fs: m}
	m.open[l] = true
	return l, nil
}

func (m *memFS) close(c io.Closer) error {
	if !m.open[c] {
		return fs.ErrClosed
	}
	delete(m.open, c)
	return nil
}

type memLock struct{ fs *memFS }

func (l *memLock) Close() error { return l.fs.close(l) }

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.fs.countOperation(); err != nil {
		f.data = append(f.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	if f.fs.capacity >= 0 && len(p) > f.fs.capacity {
		f.data = append(f.data, p[:f.fs.capacity]...)
		return f.fs.capacity, syscall.ENOSPC
	}
	if f.fs.capacity >= 0 {
		f.fs.capacity -= len(p)
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	f.fs.syncs++
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return f.fs.close(f) }
