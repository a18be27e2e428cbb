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

// memory is a file system that forgets at a crash what was not synced.
type memory struct {
	files   map[string]*memoryFile
	durable map[string]*memoryFile
	// changes are those of names since the last SyncFolder, in order.
	changes []nameChange
	// capacity is how many more bytes fit in, or less than 0 for any number.
	capacity int
	// operations counts the changes and syncs. The one numbered failAt fails.
	operations int
	failAt     int
}

// nameChange gives a name to a file and takes one away; either may be empty.
type nameChange struct {
	added, removed string
	file           *memoryFile
}

// names tells which changes of names reach the disk without SyncFolder.
type names int

const (
	noNames names = iota
	allNames
	firstName
	lastName
	namesModes
)

func (m *memory) surviving(mode names) []nameChange {
	n := len(m.changes)
	switch {
	case mode == noNames || n == 0:
		return nil
	case mode == firstName:
		return m.changes[:1]
	case mode == lastName:
		return m.changes[n-1:]
	default:
		return m.changes
	}
}

func (m *memory) change(c nameChange) {
	m.changes = append(m.changes, c)
	apply(m.files, c)
}

func apply(files map[string]*memoryFile, c nameChange) {
	if c.removed != "" {
		delete(files, c.removed)
	}
	if c.added != "" {
		files[c.added] = c.file
	}
}

type memoryFile struct {
	fs     *memory
	data   []byte
	synced []byte
}

func newMemory() *memory {
	return &memory{files: make(map[string]*memoryFile), durable: make(map[string]*memoryFile), capacity: -1, failAt: -1}
}

// crash keeps the first kept of each file's unsynced bytes, as parts of a whole,
// and those of the unsynced changes of names that mode says.
func (m *memory) crash(kept, parts int, mode names) *memory {
	after := newMemory()
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
		g := &memoryFile{fs: after, data: data, synced: slices.Clone(data)}
		after.files[name], after.durable[name] = g, g
	}
	return after
}

func (m *memory) clone() *memory { return m.crash(1, 1, noNames) }

func (m *memory) operate() error {
	m.operations++
	if m.failAt >= 0 && m.operations > m.failAt {
		return errDisk
	}
	return nil
}

func (m *memory) MakeFolder(string) error { return nil }

func (m *memory) List(folder string) ([]string, error) {
	var names []string
	for path := range m.files {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memory) Read(path string) ([]byte, error) {
	f, ok := m.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memory) Create(path string) (recorder.File, error) {
	if err := m.operate(); err != nil {
		return nil, err
	}
	f := &memoryFile{fs: m}
	m.change(nameChange{added: path, file: f})
	return f, nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.operate(); err != nil {
		return err
	}
	m.change(nameChange{added: to, removed: from, file: m.files[from]})
	return nil
}

func (m *memory) Remove(path string) error {
	if err := m.operate(); err != nil {
		return err
	}
	m.change(nameChange{removed: path})
	return nil
}

func (m *memory) SyncFolder(string) error {
	if err := m.operate(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	m.changes = nil
	return nil
}

func (m *memory) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.fs.operate(); err != nil {
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

func (f *memoryFile) Sync() error {
	if err := f.fs.operate(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
