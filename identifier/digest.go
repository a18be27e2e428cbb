package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// ParseDigest parses a digest of 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, fmt.Errorf("digest %q is not %d hexadecimal digits", text, 2*len(d))
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// IsZero reports whether the digest is the zero value, that is, not set.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// MarshalText encodes the digest as 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses the digest as ParseDigest does. On an error it leaves d unchanged.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
