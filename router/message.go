package router

import (
	"time"

	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// AttemptStart opens an attempt. The body follows in chunks and ends with
// BodyEnd; the agent starts nothing before that.
type AttemptStart struct {
	Request      identifier.RequestID
	Attempt      identifier.AttemptID
	Upstream     identifier.Upstream
	Incarnation  identifier.Incarnation
	Organisation identifier.Organisation
	Service      identifier.Service
	Method       string
	Path         string
	Header       []HeaderField
	Class        Class
	Key          identifier.IdempotencyKey
	Token        identifier.FencingToken
	Timeout      time.Duration
	Fingerprint  quarantiner.Fingerprint
	Priority     Priority
	Weight       float64
	// Alone asks the agent to run no other attempt at the same time.
	Alone      bool
	BodyLength identifier.ByteCount
	BodyDigest identifier.Digest
}

// BodyChunk carries a part of the request's body.
type BodyChunk struct {
	Attempt identifier.AttemptID
	Offset  identifier.ByteCount
	Data    []byte
}

// BodyEnd marks the end of the request's body. The attempt may start once the agent
// has received it.
type BodyEnd struct {
	Attempt identifier.AttemptID
	Length  identifier.ByteCount
}

// AttemptAsk asks on a new stream about an attempt that was started on another one.
// An agent that has not seen the attempt refuses it from then on. Otherwise the
// response continues at Offset.
type AttemptAsk struct {
	Request     identifier.RequestID
	Attempt     identifier.AttemptID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Offset      identifier.ByteCount
	// WantHead asks for the response head again.
	WantHead bool
}

// AttemptCancel gives up an attempt. An unseen or queued one is refused from
// then on. A started one is stopped unless it is non-idempotent.
type AttemptCancel struct {
	Request     identifier.RequestID
	Attempt     identifier.AttemptID
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// AttemptAccepted says that the attempt is queued or running.
type AttemptAccepted struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Load    LoadReport
}

// RefuseReason says why an agent refused an attempt.
type RefuseReason string

// The reasons for a refusal.
const (
	Busy             RefuseReason = "Busy"
	Leaving          RefuseReason = "Leaving"
	NotReady         RefuseReason = "NotReady"
	Expired          RefuseReason = "Expired"
	Unseen           RefuseReason = "Unseen"
	Cancelled        RefuseReason = "Cancelled"
	Suspected        RefuseReason = "Suspected"
	Unclaimed        RefuseReason = "Unclaimed"
	Superseded       RefuseReason = "Superseded"
	OtherIncarnation RefuseReason = "OtherIncarnation"
	DamagedBody      RefuseReason = "DamagedBody"
)

// AttemptRefused says that the attempt has not started and never will.
type AttemptRefused struct {
	Request    identifier.RequestID
	Attempt    identifier.AttemptID
	Reason     RefuseReason
	RetryAfter time.Duration
	Load       LoadReport
}

// AttemptAlive is sent at intervals while an attempt has nothing else to send.
type AttemptAlive struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Load    LoadReport
}

// GoneReason says why an agent can't report the outcome of an attempt or continue
// its response.
type GoneReason string

// The reasons for AttemptGone.
const (
	// Restarted: the attempt was for an earlier incarnation of the agent.
	Restarted GoneReason = "Restarted"
	// Forgotten: the attempt ended so long ago that the agent no longer remembers
	// it.
	Forgotten GoneReason = "Forgotten"
	// Unresumable: the bytes at the offset are no longer kept.
	Unresumable GoneReason = "Unresumable"
	// UpstreamBroke: the upstream's response broke off.
	UpstreamBroke GoneReason = "UpstreamBroke"
	// UpstreamCrashed: the upstream crashed while the attempt ran.
	UpstreamCrashed GoneReason = "UpstreamCrashed"
	// TimedOut: the upstream sent nothing during the progress timeout.
	TimedOut GoneReason = "TimedOut"
	// Stopped: the attempt was cancelled after it started.
	Stopped GoneReason = "Stopped"
)

// AttemptGone says that the attempt may have run and its response can't be given.
type AttemptGone struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Reason  GoneReason
	Load    LoadReport
}

// ResponseHead carries the status and header of the upstream's response.
type ResponseHead struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Status  int
	Header  []HeaderField
	// Length is the declared length of the body, or -1.
	Length identifier.ByteCount
}

// ResponseData carries a part of the response's body.
type ResponseData struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Offset  identifier.ByteCount
	Data    []byte
}

// ResponseEnd marks the end of a complete response.
type ResponseEnd struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Length  identifier.ByteCount
	Digest  identifier.Digest
	Trailer []HeaderField
	Load    LoadReport
	Cache   CacheReport
}

// CacheReport summarises the events of an engine's prefix cache.
type CacheReport struct {
	// Sequence is the number of events so far, including lost ones. Zero means that
	// the upstream reports no events.
	Sequence uint64
	// Held is the approximate number of blocks that the cache holds.
	Held uint64
}

// PrefixHash identifies the prefix of a prompt that ends at a block boundary.
type PrefixHash uint64

// Messages returns the messages of the attempt protocol for registration with the
// codec.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[AttemptStart]("AttemptStart"),
		encoder.Message[BodyChunk]("BodyChunk"),
		encoder.Message[BodyEnd]("BodyEnd"),
		encoder.Message[AttemptAsk]("AttemptAsk"),
		encoder.Message[AttemptCancel]("AttemptCancel"),
		encoder.Message[AttemptAccepted]("AttemptAccepted"),
		encoder.Message[AttemptRefused]("AttemptRefused"),
		encoder.Message[AttemptAlive]("AttemptAlive"),
		encoder.Message[AttemptGone]("AttemptGone"),
		encoder.Message[ResponseHead]("ResponseHead"),
		encoder.Message[ResponseData]("ResponseData"),
		encoder.Message[ResponseEnd]("ResponseEnd"),
	}
}
