package recorder

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strings"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	identityFile  = "Identity"
	identityBytes = 8
)

// identity is the content of the identity file: the name of the replica in the
// settings and the identity of the disk. It is written once, at the first start.
type identity struct {
	Name    string
	Replica identifier.Replica
}

// loadIdentity reads the identity of the disk, or creates one in a new folder.
func (r *Recorder) loadIdentity(names []string, random io.Reader) error {
	path := filepath.Join(r.cfg.Folder, identityFile)
	data, err := r.fs.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return r.makeIdentity(names, random)
	}
	if err != nil {
		return diskError(err, "read of "+identityFile)
	}
	_, content, size, ok := readFrame(data)
	if !ok || size != len(data) {
		return corruptError("file %s is damaged", path)
	}
	var id identity
	if err := bodyDecoder.Unmarshal(content, &id); err != nil {
		return corruptError("file %s is damaged: %v", path, err)
	}
	if id.Name != r.cfg.Name {
		return explainer.New(explainer.InvalidInput,
			fmt.Sprintf("data folder %s belongs to replica %q, not %q", r.cfg.Folder, id.Name, r.cfg.Name),
			"give each replica its own data folder, or restore the name in the settings")
	}
	r.replica = id.Replica
	return nil
}

// makeIdentity creates the identity of the disk. It returns an error if the folder
// already contains a log or a snapshot, since their identity is then lost.
func (r *Recorder) makeIdentity(names []string, random io.Reader) error {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return corruptError("folder %s holds %s but no %s", r.cfg.Folder, name, identityFile)
		}
	}
	var raw [identityBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return explainer.Wrap(err, explainer.Internal, "can't read random bytes for the identity of the disk", "")
	}
	id := identity{
		Name:    r.cfg.Name,
		Replica: identifier.Replica(r.cfg.Name + "-" + hex.EncodeToString(raw[:])),
	}
	content, err := bodyEncoder.Marshal(id)
	if err != nil {
		return err
	}
	if err := r.replaceFile(identityFile, appendFrame(nil, 0, content)); err != nil {
		return err
	}
	r.replica = id.Replica
	return nil
}
