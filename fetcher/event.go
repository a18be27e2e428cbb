package fetcher

import (
	"net/netip"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Favour says which of the two measures a transfer serves first.
type Favour string

// The ends of the policy.
const (
	// OriginBytes reads one copy from the origin.
	OriginBytes Favour = "OriginBytes"
	// TimeToReplicas may read several copies to be ready sooner.
	TimeToReplicas Favour = "TimeToReplicas"
)

// Priority weighs a transfer against others. A higher one gets a larger share.
type Priority int

// Name says which weights a transfer brings, without their version. A newer
// transfer of the same name replaces the older one.
type Name struct {
	Model   identifier.Model
	Adapter identifier.Adapter
}

// Peer is a member that wants the same manifest. Token rises with every member
// that joins: those that joined last hold least and hand on last.
type Peer struct {
	Upstream         identifier.Upstream
	Region           identifier.Region
	AvailabilityZone identifier.AvailabilityZone
	Address          netip.AddrPort
	Incarnation      identifier.Incarnation
	Token            identifier.FencingToken
}

// Source is where a chunk comes from: a peer, or the origin where Peer is empty.
type Source struct {
	Peer identifier.Upstream
}

// Origin is the source of the first copy.
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

// RequestID names one request of a peer at this agent, given by the shell.
type RequestID uint64

// Reason says why a chunk did not come.
type Reason string

// The reasons.
const (
	// Corrupt: the bytes did not match their digest.
	Corrupt Reason = "Corrupt"
	// Stalled: the source made no progress until the deadline.
	Stalled Reason = "Stalled"
	// Unreachable: the source can't be reached or broke off.
	Unreachable Reason = "Unreachable"
	// NotHeld: the peer does not hold the chunk.
	NotHeld Reason = "NotHeld"
	// NotWanted: the peer does not know the manifest.
	NotWanted Reason = "NotWanted"
	// Busy: the peer has too many requests.
	Busy Reason = "Busy"
	// RateLimited: the origin or weight store asks to come back later.
	RateLimited Reason = "RateLimited"
	// NotStored: the chunk came, but this agent could not store it.
	NotStored Reason = "NotStored"
	// Missing: the origin does not have what the manifest names.
	Missing Reason = "Missing"
)

// Event is something that happened around the agent.
type Event interface{ isEvent() }

// Wanted asks for the weights of a manifest, or changes priority or favour.
type Wanted struct {
	Manifest identifier.Digest
	Name     Name
	Source   string
	Priority Priority
	Favour   Favour
}

// Cancelled ends a transfer and gives up its chunks.
type Cancelled struct{ Manifest identifier.Digest }

// Paused stops fetching for a transfer. It goes on serving its peers.
type Paused struct{ Manifest identifier.Digest }

// Resumed continues a paused transfer.
type Resumed struct{ Manifest identifier.Digest }

// ManifestArrived brings a manifest that was checked against its pinned digest.
type ManifestArrived struct{ Manifest *verifier.Manifest }

// ManifestFailed says that the manifest could not be had.
type ManifestFailed struct {
	Manifest   identifier.Digest
	Reason     Reason
	RetryAfter time.Duration
}

// PeersChanged gives all members that want the manifest, this one included or not.
type PeersChanged struct {
	Manifest identifier.Digest
	Peers    []Peer
}

// ChunkArrived brings the proof of a chunk whose bytes the shell has stored.
type ChunkArrived struct {
	Manifest identifier.Digest
	Chunk    verifier.Chunk
	Source   Source
}

// ChunkRestored brings the proof of a chunk that was stored before a restart.
type ChunkRestored struct{ Chunk verifier.Chunk }

// ChunkDelayed says that a peer is alive and keeps the request.
type ChunkDelayed struct {
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Source   Source
}

// ChunkFailed ends a fetch without the chunk.
type ChunkFailed struct {
	Manifest   identifier.Digest
	Chunk      verifier.ChunkIndex
	Source     Source
	Reason     Reason
	RetryAfter time.Duration
}

// ChunkRequested is a peer's request for a chunk. With Wait it is kept until
// the chunk is held.
type ChunkRequested struct {
	Request  RequestID
	Manifest identifier.Digest
	Chunk    verifier.ChunkIndex
	Peer     identifier.Upstream
	Wait     bool
}

// RequestEnded says that a peer's request was answered, broke off or was
// withdrawn.
type RequestEnded struct{ Request RequestID }

// OriginLeaseAnswered is control's answer to AskOriginLease.
type OriginLeaseAnswered struct {
	Manifest identifier.Digest
	Chunks   Range
	Copy     int
	Granted  bool
	// Expires ends a grant. Nothing may be read under it afterwards.
	Expires time.Time
	// Held: the refusal is because another member was granted the chunks.
	Held bool
	// Holder is that member, where it is known.
	Holder identifier.Upstream
	// RetryAfter says when a refused member may ask again.
	RetryAfter time.Duration
}

// FilesVerified brings the proof that every file was read back and verified.
type FilesVerified struct{ Weights verifier.Weights }

// FilesRefused says that verified chunks do not make up the declared files.
type FilesRefused struct {
	Manifest identifier.Digest
	Problem  string
}

// DelayMeasured feeds in the delay that live requests see on this instance.
type DelayMeasured struct{ Delay time.Duration }

// BudgetsChanged sets the rates that transfers may use at most.
type BudgetsChanged struct {
	Upload   identifier.BytesPerSecond
	Download identifier.BytesPerSecond
}

// Ticked drives deadlines and retries.
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
func (FilesRefused) isEvent()        {}
func (DelayMeasured) isEvent()       {}
func (BudgetsChanged) isEvent()      {}
func (Ticked) isEvent()              {}
