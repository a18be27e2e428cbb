package fetcher

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Favour selects which of two objectives a transfer puts first.
type Favour string

// The objectives that a transfer can put first.
const (
	// OriginBytes reads only one copy from the origin.
	OriginBytes Favour = "OriginBytes"
	// TimeToReplicas may read several copies, so that the instances are ready sooner.
	TimeToReplicas Favour = "TimeToReplicas"
)

// Priority ranks a transfer against others. A higher one gets a larger share of the
// uploads.
type Priority int

// Name identifies the weights of a transfer without their version. A newer transfer
// of the same name replaces the older one.
type Name struct {
	Model   identifier.Model
	Adapter identifier.Adapter
}

// Peer is a member that wants the same manifest. Token rises with every member that
// joins. The members that joined last hold the fewest chunks, so they are the last
// to get children in the trees.
type Peer struct {
	Upstream         identifier.Upstream
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	Address          netip.AddrPort
	Incarnation      identifier.Incarnation
	Token            identifier.FencingToken
}

// Source is where a chunk comes from: the peer, or the origin if Peer is empty.
type Source struct {
	Peer identifier.Upstream
}

// Origin is the source that is not a peer. It serves the first copy.
var Origin = Source{}

// IsOrigin reports whether the source is the origin.
func (s Source) IsOrigin() bool {
	return s.Peer == ""
}

// Range is a run of consecutive chunks.
type Range struct {
	First verifier.ChunkIndex
	Count int
}

// RequestID identifies one request of a peer at this agent. The shell assigns it.
type RequestID uint64

// Reason is why a fetch or a request ended without the chunk.
type Reason string

// The reasons why a chunk is not delivered.
const (
	// Corrupt means that the bytes did not match their digest.
	Corrupt Reason = "Corrupt"
	// Stalled means that the source made no progress until the deadline.
	Stalled Reason = "Stalled"
	// Unreachable means that the source can't be reached or broke the connection.
	Unreachable Reason = "Unreachable"
	// NotHeld means that the peer does not hold the chunk.
	NotHeld Reason = "NotHeld"
	// UnknownManifest means that the peer has no transfer of the manifest.
	UnknownManifest Reason = "NotWanted"
	// Busy means that the peer has too many requests.
	Busy Reason = "Busy"
	// RateLimited means that the origin or weight store asks for a later retry.
	RateLimited Reason = "RateLimited"
	// NotStored means that the chunk arrived, but this agent could not store it.
	NotStored Reason = "NotStored"
	// Missing means that the origin does not have what the manifest names.
	Missing Reason = "Missing"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Wanted starts the transfer of a manifest, or changes its priority or favour.
type Wanted struct {
	Manifest identifier.Digest
	Name     Name
	Source   string
	Priority Priority
	Favour   Favour
	// Beside lets the other transfers of the name go on. The same event without it ends them.
	Beside bool
}

// Cancelled ends a transfer and drops its chunks.
type Cancelled struct{ Manifest identifier.Digest }

// Paused stops fetching for a transfer. Its peers are still served.
type Paused struct {
	Manifest identifier.Digest
	// EndReads ends the reads from the origin that are in progress, so that its link is free
	// at once. Otherwise they are completed.
	EndReads bool
}

// Resumed continues a paused transfer.
type Resumed struct{ Manifest identifier.Digest }

// ManifestArrived delivers a manifest that was checked against its pinned digest.
type ManifestArrived struct{ Manifest *verifier.Manifest }

// ManifestFailed reports that the manifest could not be fetched.
type ManifestFailed struct {
	Manifest   identifier.Digest
	Reason     Reason
	RetryAfter time.Duration
}

// PeersChanged lists all members that want the manifest. It need not include this
// agent.
type PeersChanged struct {
	Manifest identifier.Digest
	Peers    []Peer
}

// ChunkArrived delivers the proof of a chunk whose bytes the shell has stored.
type ChunkArrived struct {
	Manifest identifier.Digest
	Chunk    verifier.Chunk
	Source   Source
}

// ChunkRestored delivers the proof of a chunk that was stored before a restart.
type ChunkRestored struct{ Chunk verifier.Chunk }

// ChunkDelayed reports that a peer is alive and keeps the request.
type ChunkDelayed struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Source   Source
}

// ChunkFailed reports a fetch that ended without the chunk.
type ChunkFailed struct {
	Manifest   identifier.Digest
	Chunk      verifier.ChunkIndex
	Source     Source
	Reason     Reason
	RetryAfter time.Duration
}

// ChunkRequested is a peer's request for a chunk. With Wait it is kept until the
// chunk is held.
type ChunkRequested struct {
	Request  RequestID
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Peer     identifier.Upstream
	Wait     bool
}

// RequestEnded reports that a peer's request was answered, failed or was withdrawn.
type RequestEnded struct{ Request RequestID }

// OriginLeaseAnswered is control's answer to RequestOriginLease.
type OriginLeaseAnswered struct {
	Manifest identifier.Digest
	Chunks   Range
	Copy     int
	Granted  bool
	// Expires is when a grant ends. Nothing may be read under it afterwards.
	Expires time.Time
	// Held is set if the request was refused because another member was granted the
	// chunks.
	Held bool
	// Holder is that member, if it is known.
	Holder identifier.Upstream
	// RetryAfter is how long a refused member has to wait before it asks again.
	RetryAfter time.Duration
}

// FilesVerified delivers the proof that every file was read back and verified.
type FilesVerified struct{ Weights verifier.Weights }

// FilesInvalid reports that the verified chunks do not make up the declared files.
type FilesInvalid struct {
	Manifest identifier.Digest
	Problem  string
}

// DelayMeasured reports the delay of live requests on this instance.
type DelayMeasured struct{ Delay time.Duration }

// BudgetsChanged sets the maximum rates of transfers.
type BudgetsChanged struct {
	Upload   identifier.BytesPerSecond
	Download identifier.BytesPerSecond
}

// Ticked is sent at regular intervals and drives deadlines and retries.
type Ticked struct{}

func (Wanted) isEvent()              {}
func (Cancelled) isEvent()           {}
func (Paused) isEvent()              {}
func (Resumed) isEvent()             {}
func (ManifestArrived) isEvent()     {}
func (ManifestFailed) isEvent()      {}
func (PeersChanged) isEvent()        {}
func (ChunkArrived) isEvent()        {}
func (ChunkRestored) isEvent()       {}
func (ChunkDelayed) isEvent()        {}
func (ChunkFailed) isEvent()         {}
func (ChunkRequested) isEvent()      {}
func (RequestEnded) isEvent()        {}
func (OriginLeaseAnswered) isEvent() {}
func (FilesVerified) isEvent()       {}
func (FilesInvalid) isEvent()        {}
func (DelayMeasured) isEvent()       {}
func (BudgetsChanged) isEvent()      {}
func (Ticked) isEvent()              {}
