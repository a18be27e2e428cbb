package recorder

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"celeryvalve/explainer"
)

// File is a file that is written sequentially.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FileSystem holds the file operations that the recorder uses.
type FileSystem interface {
	// MakeFolder creates the folder and its parents, and syncs the folder above it.
	MakeFolder(path string) error
	// List returns the names in the folder in ascending order.
	List(folder string) ([]string, error)
	// Read returns the content of the whole file.
	Read(path string) ([]byte, error)
	// Create creates an empty file and replaces any existing one.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in the folder durable.
	SyncFolder(path string) error
	// Lock locks the file for this process until the result is closed, and fails if
	// another process holds the lock.
	Lock(path string) (io.Closer, error)
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// MakeFolder implements FileSystem.
func (d OSFileSystem) MakeFolder(path string) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	return d.SyncFolder(filepath.Dir(path))
}

// List implements FileSystem.
func (OSFileSystem) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read implements FileSystem.
func (OSFileSystem) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements FileSystem.
func (OSFileSystem) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	err = f.Sync()
	return errors.Join(err, f.Close())
}

// Lock implements FileSystem.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, explainer.Wrap(err, explainer.Conflict, "data folder "+filepath.Dir(path)+" is in use by another process",
			"stop the other process, or give this one its own data folder")
	}
	return f, nil
}
