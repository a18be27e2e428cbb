package indexer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

const (
	// MaxParts bounds the parts of one prompt that are indexed.
	MaxParts = 32
	// maxPartTokens bounds the tokens of one part: four times the context of the largest
	// engines in use, 262,144.
	maxPartTokens = 1 << 20
)

// Part is one part of a prompt.
type Part struct {
	// ID names the content of the part.
	ID string
	// Tokens is the length of the part, or 0 if it is not known.
	Tokens int
}

// Hash identifies the beginning of a prompt up to the end of a block.
type Hash uint64

// Block is one part of a prompt together with all parts before it.
type Block struct {
	Hash   Hash
	Tokens int // of the last part alone
}

// Beginning lists the blocks of a prompt, the shortest beginning first.
type Beginning []Block

// Fault says why parts of a prompt are ignored.
type Fault string

// The faults.
const (
	// Unreadable: a part has no id, or no positive number of tokens.
	Unreadable Fault = "Unreadable"
	// Oversized: a part has more tokens than any engine could hold.
	Oversized Fault = "Oversized"
	// TooMany: there are more than MaxParts parts.
	TooMany Fault = "TooMany"
)

// Chain returns the beginning that the parts form. The first part at fault and all after it
// are ignored; the fault is empty if there is none.
func Chain(parts []Part) (Beginning, Fault) {
	if len(parts) == 0 {
		return nil, ""
	}
	blocks := make(Beginning, 0, min(len(parts), MaxParts))
	var previous Hash
	for i, p := range parts {
		switch {
		case i == MaxParts:
			return blocks, TooMany
		case p.ID == "" || p.Tokens <= 0:
			return blocks, Unreadable
		case p.Tokens > maxPartTokens:
			return blocks, Oversized
		}
		previous = chainHash(previous, p.ID)
		blocks = append(blocks, Block{Hash: previous, Tokens: p.Tokens})
	}
	return blocks, ""
}

func chainHash(previous Hash, id string) Hash {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(previous))
	_, _ = d.WriteString(id)
	return Hash(d.Sum64())
}

// FromHashes returns the beginning with these hashes, of which each covers all before it.
// The lengths of its blocks are not known.
func FromHashes[H ~uint64](hashes []H) Beginning {
	if len(hashes) == 0 {
		return nil
	}
	blocks := make(Beginning, 0, len(hashes))
	for _, h := range hashes {
		blocks = append(blocks, Block{Hash: Hash(h)})
	}
	return blocks
}

// Tokens returns the length of the beginning.
func (b Beginning) Tokens() int {
	n := 0
	for _, block := range b {
		n += block.Tokens
	}
	return n
}

// Shared returns the beginning without its last block, which belongs to the request or its
// session.
func (b Beginning) Shared() Beginning {
	return b[:max(0, len(b)-1)]
}

// Rank orders upstreams for the beginning, highest first, alike in all processes and
// differently for each beginning.
func (b Beginning) Rank(u identifier.Upstream) uint64 {
	var seed [8]byte
	if len(b) > 0 {
		binary.LittleEndian.PutUint64(seed[:], uint64(b[len(b)-1].Hash))
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(string(u))
	return d.Sum64()
}
