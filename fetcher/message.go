package fetcher

import (
	"time"

	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// ChunkRequest opens a stream that brings one chunk.
type ChunkRequest struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Upstream identifier.Upstream
	Wait     bool
}

// ChunkAnswer answers on the stream. Any number of delayed answers precede the
// one that is refused or has Data.
type ChunkAnswer struct {
	Delayed    bool
	Refused    Reason
	RetryAfter time.Duration
	Data       []byte
}

// ManifestRequest opens a stream that brings a manifest.
type ManifestRequest struct {
	Manifest identifier.Digest
}

// ManifestAnswer is the only answer on the stream. Data is the manifest as the
// origin serves it, or empty where the member has none.
type ManifestAnswer struct {
	Data []byte
}

// Messages returns the messages between agents.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[ChunkRequest]("FetcherChunkRequest"),
		encoder.Message[ChunkAnswer]("FetcherChunkAnswer"),
		encoder.Message[ManifestRequest]("FetcherManifestRequest"),
		encoder.Message[ManifestAnswer]("FetcherManifestAnswer"),
	}
}
