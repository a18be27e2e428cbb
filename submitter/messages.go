package submitter

import (
	"net/netip"

	"celeryvalve/coordinator"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
)

const (
	// Kind is the kind of SubmitCommand, the first message of a submission.
	Kind encoder.Kind = "SubmitCommand"
	// LeaderKind is the kind of LeaderRequest.
	LeaderKind encoder.Kind = "LeaderRequest"
)

// SubmitCommand contains one encoded command for a control replica. The answer is the
// result of the state machine, or Refused.
type SubmitCommand struct {
	Data []byte
}

// Refused is the answer if the replica did not apply the command, or does not know
// whether it was applied.
type Refused struct {
	// Leader is the address of the leader, if the replica knows which one is, and Term the term in
	// which that one was elected. The command should then be sent there.
	Leader netip.AddrPort
	Term   uint64 `cbor:",omitempty"`
	// Kind is Unavailable if the command should be sent again. The command may have been
	// applied in that case.
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// Refusal returns the message itself: it always stands for a refusal.
func (r *Refused) Refusal() *Refused { return r }

// Refusable is an answer that may stand for a refusal. Refusal returns nil if it does not.
type Refusable interface {
	Refusal() *Refused
}

// NewRefused returns the answer to a request that only the leader can serve, and that failed with err.
func NewRefused(err error, known coordinator.Leadership) *Refused {
	refused := &Refused{Kind: explainer.KindOf(err), Problem: err.Error(), Leader: known.Leader, Term: uint64(known.Term)}
	if isRetryable(err) {
		refused.Kind = explainer.Unavailable
	}
	return refused
}

// LeaderRequest asks a control replica which replica leads. The answer is LeaderAnswer.
type LeaderRequest struct{}

// LeaderAnswer is what a control replica knows of the leader. Of the leaders that several replicas name, only
// the one with the highest term can still commit commands.
type LeaderAnswer struct {
	// Leader is invalid if the replica knows none.
	Leader netip.AddrPort
	Term   uint64
}

// Messages returns the codec entries of the messages of this package.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[SubmitCommand](Kind),
		encoder.Message[Refused]("Refused"),
		encoder.Message[LeaderRequest](LeaderKind),
		encoder.Message[LeaderAnswer]("LeaderAnswer"),
	}
}
