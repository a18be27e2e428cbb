package verifier

import (
	"crypto/sha256"
	"fmt"
	"io"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Weights is the proof that every byte of every file of a manifest was read back
// and verified. Only VerifyFiles returns a valid one; the zero value proves
// nothing.
type Weights struct {
	manifest *Manifest
}

// Manifest returns the manifest, or nil for the zero value.
func (w Weights) Manifest() *Manifest {
	return w.manifest
}

// IsZero reports whether w is the zero value, which proves nothing.
func (w Weights) IsZero() bool {
	return w.manifest == nil
}

// OpenFunc opens a file of the manifest for reading. VerifyFiles closes the reader.
type OpenFunc func(file File) (io.ReadCloser, error)

// VerifyFiles reads every file to its end and checks its size and digest. It
// returns an error of kind Unavailable if a file can't be read, and Corrupt if one
// does not match.
func (m *Manifest) VerifyFiles(open OpenFunc) (Weights, error) {
	if m.digest.IsZero() {
		return Weights{}, malformed("manifest was neither parsed nor built", nil)
	}
	for _, f := range m.Files {
		if err := verifyFile(f, open); err != nil {
			return Weights{}, err
		}
	}
	return Weights{manifest: m}, nil
}

func verifyFile(f File, open OpenFunc) error {
	r, err := open(f)
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("file %q can't be opened", f.Path),
			"fetch its chunks again")
	}
	defer func() { _ = r.Close() }()
	h := sha256.New()
	n, err := io.Copy(h, r)
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("file %q can't be read", f.Path),
			"fetch its chunks again")
	}
	if identifier.ByteCount(n) != f.Size || identifier.Digest(h.Sum(nil)) != f.Digest {
		return explainer.New(explainer.Corrupt, fmt.Sprintf("file %q does not match its digest", f.Path),
			"build the manifest again: its chunks and file digest disagree")
	}
	return nil
}
