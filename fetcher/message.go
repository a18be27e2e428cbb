package fetcher

import (
	"time"

	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// ChunkRequest opens a stream that delivers one chunk. With Wait the peer keeps the
// request until it holds the chunk.
type ChunkRequest struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Upstream identifier.Upstream
	Wait     bool
	// Idle says that the peer's engine serves nothing until the release is there.
	Idle bool
}

// ChunkAnswer answers a ChunkRequest. Any number of answers with Delayed precede the
// last one, which has Refused or Data.
type ChunkAnswer struct {
	Delayed    bool
	Refused    Reason
	RetryAfter time.Duration
	Data       []byte
}

// ManifestRequest opens a stream that delivers a manifest.
type ManifestRequest struct {
	Manifest identifier.Digest
}

// ManifestAnswer is the only answer to a ManifestRequest. Data is the manifest as the
// origin serves it, or empty if the member does not have it.
type ManifestAnswer struct {
	Data []byte
}

// Messages returns the types of message that agents exchange.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[ChunkRequest]("FetcherChunkRequest"),
		encoder.Message[ChunkAnswer]("FetcherChunkAnswer"),
		encoder.Message[ManifestRequest]("FetcherManifestRequest"),
		encoder.Message[ManifestAnswer]("FetcherManifestAnswer"),
	}
}
