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

// StoreConfig says where chunks are kept.
type StoreConfig struct {
	// Folder keeps chunks over restarts. Without one they are kept in memory.
	Folder string
	// Limit bounds the bytes of all chunks.
	Limit identifier.ByteCount
	// Durable syncs each chunk, so that it outlasts a loss of power.
	Durable bool
}

// Store keeps the bytes of verified chunks. It is safe for concurrent use.
type Store struct {
	cfg StoreConfig

	mu     sync.RWMutex
	memory map[identifier.Digest][]byte // without a folder
	sizes  map[identifier.Digest]identifier.ByteCount
	used   identifier.ByteCount
}

// temporarySuffix marks a file that is being written.
const temporarySuffix = ".new"

// NewStore returns a store without chunks; Restore brings those of the folder.
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
		return nil, explainer.Wrap(err, explainer.Unavailable, "chunk folder can't be made",
			"let the process write there, or name another ChunkFolder")
	}
	return s, nil
}

// Restore verifies the chunks of the folder and returns their proofs. Files that
// fail are removed.
func (s *Store) Restore() ([]verifier.Chunk, error) {
	if s.cfg.Folder == "" {
		return nil, nil
	}
	entries, err := os.ReadDir(s.cfg.Folder)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "chunk folder can't be read", "let the process read it")
	}
	var chunks []verifier.Chunk
	for _, entry := range entries {
		digest, err := identifier.ParseDigest(entry.Name())
		if err != nil {
			if filepath.Ext(entry.Name()) == temporarySuffix {
				_ = os.Remove(filepath.Join(s.cfg.Folder, entry.Name()))
			}
			continue
		}
		chunk, err := s.restore(digest)
		if err != nil {
			_ = os.Remove(s.path(digest))
			continue
		}
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

func (s *Store) restore(digest identifier.Digest) (verifier.Chunk, error) {
	info, err := os.Stat(s.path(digest))
	if err != nil {
		return verifier.Chunk{}, err
	}
	if info.Size() > int64(verifier.MaxChunkSize) {
		return verifier.Chunk{}, errors.New("file is larger than a chunk")
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

// reserve takes room for a chunk. It reports fs.ErrExist for one that is stored.
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

// Put keeps the bytes of a chunk. data must not be changed afterwards.
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
		return explainer.Wrap(err, explainer.Unavailable, "chunk can't be written", "make room in the chunk folder")
	}
	return nil
}

// write leaves either the whole file or none. Unless the store is durable it
// isn't synced, since Restore verifies every file.
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
		err = recorder.Disk{}.SyncFolder(s.cfg.Folder)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// Held returns the digests of all chunks.
func (s *Store) Held() []identifier.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Keys(s.sizes))
}

// Get returns the bytes of a chunk, verified. The caller must not change them.
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

// Drop gives up chunks.
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

// Used returns the bytes of all chunks.
func (s *Store) Used() identifier.ByteCount {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.used
}

func (s *Store) path(digest identifier.Digest) string {
	return filepath.Join(s.cfg.Folder, digest.String())
}
