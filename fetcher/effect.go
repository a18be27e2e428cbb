package fetcher

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Effect is something that the shell has to do.
type Effect interface{ isEffect() }

// FetchManifest reads the manifest from the source and answers with
// ManifestArrived or ManifestFailed.
type FetchManifest struct {
	Manifest identifier.Digest
	Source   string
}

// FetchChunkFromPeer asks a peer for a chunk and answers with ChunkArrived or
// ChunkFailed.
type FetchChunkFromPeer struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Peer     Peer
	Wait     bool
}

// FetchChunkFromOrigin reads a leased chunk from the source and answers with
// ChunkArrived or ChunkFailed.
type FetchChunkFromOrigin struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Source   string
	// Expires ends the lease. The read is broken off then.
	Expires time.Time
}

// CancelFetch breaks off a fetch. No event answers it.
type CancelFetch struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Source   Source
}

// AskOriginLease asks control for the right to read chunks from the origin, once.
type AskOriginLease struct {
	Manifest identifier.Digest
	Chunks   Range
	// Copy numbers the copies of the origin that may be read, from 0.
	Copy int
	// Size is how many bytes the chunks hold.
	Size identifier.ByteCount
	// TotalSize is how many bytes the whole manifest holds.
	TotalSize identifier.ByteCount
	Favour    Favour
	// Again: the chunks were granted before, and no member that could hold them does.
	Again bool
}

// SendChunk answers a peer's request with the chunk. RequestEnded follows.
type SendChunk struct {
	Request  RequestID
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Digest   identifier.Digest
	Peer     identifier.Upstream
}

// DelayChunk tells a peer that its request is kept. The answer follows later.
type DelayChunk struct{ Request RequestID }

// RefuseChunk answers a peer's request without the chunk. RequestEnded follows
// where the request was kept.
type RefuseChunk struct {
	Request    RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// VerifyFiles reads every file of the manifest back from the stored chunks and
// answers with FilesVerified or FilesRefused.
type VerifyFiles struct{ Manifest identifier.Digest }

// Completed hands on weights whose every chunk and file was verified.
type Completed struct {
	Name    Name
	Weights verifier.Weights
}

// Failed says that a transfer can't go on until an operator acts.
type Failed struct {
	Manifest identifier.Digest
	Problem  string
	Remedy   string
}

// DropChunks gives up stored chunks that no transfer needs.
type DropChunks struct{ Digests []identifier.Digest }

// BlamePeer reports a source that did harm or made no progress.
type BlamePeer struct {
	Manifest identifier.Digest
	Source   Source
	Reason   Reason
}

// SetBudgets limits the rates of transfers on this instance.
type SetBudgets struct {
	Upload   identifier.BytesPerSecond
	Download identifier.BytesPerSecond
}

func (FetchManifest) isEffect()        {}
func (FetchChunkFromPeer) isEffect()   {}
func (FetchChunkFromOrigin) isEffect() {}
func (CancelFetch) isEffect()          {}
func (AskOriginLease) isEffect()       {}
func (SendChunk) isEffect()            {}
func (DelayChunk) isEffect()           {}
func (RefuseChunk) isEffect()          {}
func (VerifyFiles) isEffect()          {}
func (Completed) isEffect()            {}
func (Failed) isEffect()               {}
func (DropChunks) isEffect()           {}
func (BlamePeer) isEffect()            {}
func (SetBudgets) isEffect()           {}
