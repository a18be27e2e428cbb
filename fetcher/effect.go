package fetcher

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Effect is an action that the shell has to perform.
type Effect interface{ isEffect() }

// FetchManifest reads the manifest from the source. ManifestArrived or
// ManifestFailed follows.
type FetchManifest struct {
	Manifest identifier.Digest
	Source   string
}

// FetchChunkFromPeer requests a chunk from a peer. ChunkArrived or ChunkFailed
// follows. With Wait the peer keeps the request until it holds the chunk.
type FetchChunkFromPeer struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Peer     Peer
	Wait     bool
}

// FetchChunkFromOrigin reads a leased chunk from the source. ChunkArrived or
// ChunkFailed follows.
type FetchChunkFromOrigin struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Source   string
	// Expires is when the lease ends. The read is aborted then.
	Expires time.Time
}

// CancelFetch aborts a fetch. No event follows.
type CancelFetch struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Source   Source
}

// RequestOriginLease requests from control the right to read each of the chunks once
// from the origin. OriginLeaseAnswered follows.
type RequestOriginLease struct {
	Manifest identifier.Digest
	Chunks   Range
	// Copy is the number of the origin's copy to read, from 0.
	Copy int
	// Size is the total size of the chunks.
	Size identifier.ByteCount
	// TotalSize is the total size of the manifest's chunks.
	TotalSize identifier.ByteCount
	Favour    Favour
	// Regrant is set for chunks that were granted before and that no member was found to
	// hold.
	Regrant bool
}

// SendChunk answers a peer's request with the chunk. RequestEnded follows.
type SendChunk struct {
	Request  RequestID
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Digest   identifier.Digest
	Peer     identifier.Upstream
}

// ReportChunkDelay tells a peer that its request is kept and will be answered later.
type ReportChunkDelay struct{ Request RequestID }

// RefuseChunk answers a peer's request without the chunk. RequestEnded follows if
// the request was kept.
type RefuseChunk struct {
	Request    RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// VerifyFiles reads every file of the manifest back from the stored chunks.
// FilesVerified or FilesInvalid follows.
type VerifyFiles struct{ Manifest identifier.Digest }

// Completed delivers weights whose every chunk and file was verified.
type Completed struct {
	Name    Name
	Weights verifier.Weights
}

// Failed reports a transfer that can't continue until an operator acts.
type Failed struct {
	Manifest identifier.Digest
	Problem  string
	Remedy   string
}

// DropChunks deletes stored chunks that no transfer needs.
type DropChunks struct{ Digests []identifier.Digest }

// ReportSourceFailure reports a failure of a source: the peer, or the origin.
type ReportSourceFailure struct {
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
func (RequestOriginLease) isEffect()   {}
func (SendChunk) isEffect()            {}
func (ReportChunkDelay) isEffect()     {}
func (RefuseChunk) isEffect()          {}
func (VerifyFiles) isEffect()          {}
func (Completed) isEffect()            {}
func (Failed) isEffect()               {}
func (DropChunks) isEffect()           {}
func (ReportSourceFailure) isEffect()  {}
func (SetBudgets) isEffect()           {}
