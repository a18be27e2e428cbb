package transferrer

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/verifier"
)

// StoreConfig holds the settings of a Store.
type StoreConfig struct {
	// Folder holds the chunks, which then survive a restart. If it is empty, the
	// chunks are kept in memory.
	Folder string
	// Limit is the largest total size of all chunks.
	Limit identifier.ByteCount
	// Durable syncs each chunk to the disk, so that it survives a power failure.
	Durable bool
}

// Store holds the bytes of verified chunks. It is safe for concurrent use.
type Store struct {
	cfg StoreConfig

	mu     sync.RWMutex
	memory map[identifier.Digest][]byte // used if there is no folder
	sizes  map[identifier.Digest]identifier.ByteCount
	used   identifier.ByteCount
}

// temporarySuffix marks a file that is not completely written.
const temporarySuffix = ".new"

// NewStore returns an empty store and creates its folder. Restore loads the chunks
// that the folder already holds, or Find those that are not verified yet. Either is called
// once, before other methods.
func NewStore(cfg StoreConfig) (*Store, error) {
	s := &Store{
		cfg:    cfg,
		memory: make(map[identifier.Digest][]byte),
		sizes:  make(map[identifier.Digest]identifier.ByteCount),
	}
	if cfg.Folder == "" {
		return s, nil
	}
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "chunk folder can't be created",
			"give the process write access, or set another ChunkFolder")
	}
	return s, nil
}

// Restore verifies the chunks in the folder and returns them. It removes incomplete
// files, and chunks that fail the verification or exceed the limit. It leaves out files that
// can't be read.
func (s *Store) Restore() ([]verifier.Chunk, error) {
	if s.cfg.Folder == "" {
		return nil, nil
	}
	entries, err := os.ReadDir(s.cfg.Folder)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "chunk folder can't be read", "give the process read access")
	}
	var chunks []verifier.Chunk
	for _, entry := range entries {
		digest, err := identifier.ParseDigest(entry.Name())
		if err != nil {
			s.removeTemporary(entry.Name())
			continue
		}
		chunk, err := s.restoreChunk(digest)
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			continue // the disk failed, and the file may be intact
		}
		if err != nil {
			_ = os.Remove(s.path(digest))
			continue
		}
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

// Find records the chunks in the folder without reading them: Get verifies each. It removes
// incomplete files, and chunks that exceed the limit. It returns how many chunks there are.
func (s *Store) Find() (int, error) {
	if s.cfg.Folder == "" {
		return 0, nil
	}
	entries, err := os.ReadDir(s.cfg.Folder)
	if err != nil {
		return 0, explainer.Wrap(err, explainer.Unavailable, "chunk folder can't be read", "give the process read access")
	}
	found := 0
	for _, entry := range entries {
		digest, err := identifier.ParseDigest(entry.Name())
		if err != nil {
			s.removeTemporary(entry.Name())
			continue
		}
		info, err := entry.Info()
		if err != nil {
			continue // the disk failed, and the file may be intact
		}
		if size := identifier.ByteCount(info.Size()); size > verifier.MaxChunkSize || s.reserve(digest, size) != nil {
			_ = os.Remove(s.path(digest))
			continue
		}
		found++
	}
	return found, nil
}

// removeTemporary removes a file that was not completely written.
func (s *Store) removeTemporary(name string) {
	if filepath.Ext(name) == temporarySuffix {
		_ = os.Remove(filepath.Join(s.cfg.Folder, name))
	}
}

func (s *Store) restoreChunk(digest identifier.Digest) (verifier.Chunk, error) {
	info, err := os.Stat(s.path(digest))
	if err != nil {
		return verifier.Chunk{}, err
	}
	if info.Size() > int64(verifier.MaxChunkSize) {
		return verifier.Chunk{}, errors.New("file is larger than the largest chunk")
	}
	data, err := os.ReadFile(s.path(digest))
	if err != nil {
		return verifier.Chunk{}, err
	}
	chunk, err := verifier.VerifyBytes(digest, data)
	if err != nil {
		return verifier.Chunk{}, err
	}
	return chunk, s.reserve(digest, chunk.Size())
}

// reserve adds a chunk to the total size. It returns fs.ErrExist if the chunk is
// already stored, and an error of kind Unavailable if the limit would be exceeded.
func (s *Store) reserve(digest identifier.Digest, size identifier.ByteCount) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sizes[digest]; ok {
		return fs.ErrExist
	}
	if s.used+size > s.cfg.Limit {
		return explainer.New(explainer.Unavailable, fmt.Sprintf("chunks would exceed the limit of %d bytes", s.cfg.Limit),
			"raise ChunkMemory, or declare smaller weights")
	}
	s.sizes[digest] = size
	s.used += size
	return nil
}

// Put stores the bytes of a chunk, unless it is already stored. data must not be
// changed afterwards.
func (s *Store) Put(chunk verifier.Chunk, data []byte) error {
	digest := chunk.Digest()
	err := s.reserve(digest, chunk.Size())
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if s.cfg.Folder == "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.memory[digest] = data
		return nil
	}
	if err := s.write(digest, data); err != nil {
		s.Drop([]identifier.Digest{digest})
		return explainer.Wrap(err, explainer.Unavailable, "chunk can't be written", "free disk space for the chunk folder")
	}
	return nil
}

// write creates the whole file or none. A store that is not durable does not sync the
// file: a power failure may then damage it, but Restore verifies every file.
func (s *Store) write(digest identifier.Digest, data []byte) error {
	f, err := os.CreateTemp(s.cfg.Folder, "*"+temporarySuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil && s.cfg.Durable {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), s.path(digest))
	}
	if err == nil && s.cfg.Durable {
		err = recorder.OSFileSystem{}.SyncFolder(s.cfg.Folder)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// Digests returns the digests of all stored chunks.
func (s *Store) Digests() []identifier.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Keys(s.sizes))
}

// Get returns the verified bytes of a chunk, or an error of kind NotFound if it is
// not stored. The caller must not change them.
func (s *Store) Get(digest identifier.Digest) ([]byte, error) {
	s.mu.RLock()
	data, ok := s.memory[digest]
	_, stored := s.sizes[digest]
	s.mu.RUnlock()
	if ok {
		return data, nil
	}
	if !stored || s.cfg.Folder == "" {
		return nil, explainer.New(explainer.NotFound, fmt.Sprintf("chunk %s is not stored", digest), "fetch it again")
	}
	data, err := os.ReadFile(s.path(digest))
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "stored chunk can't be read", "check the chunk folder's disk")
	}
	if _, err := verifier.VerifyBytes(digest, data); err != nil {
		return nil, err
	}
	return data, nil
}

// Drop deletes chunks. It ignores those that are not stored.
func (s *Store) Drop(digests []identifier.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range digests {
		size, ok := s.sizes[digest]
		if !ok {
			continue
		}
		s.used -= size
		delete(s.sizes, digest)
		delete(s.memory, digest)
		if s.cfg.Folder != "" {
			_ = os.Remove(s.path(digest))
		}
	}
}

// Used returns the total size of all chunks.
func (s *Store) Used() identifier.ByteCount {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.used
}

func (s *Store) path(digest identifier.Digest) string {
	return filepath.Join(s.cfg.Folder, digest.String())
}
