package submitter

import (
	"net/netip"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
)

// Kind is the kind of SubmitCommand, the first message of a submission.
const Kind encoder.Kind = "SubmitCommand"

// SubmitCommand contains one encoded command for a control replica. The answer is the
// result of the state machine, or Refused.
type SubmitCommand struct {
	Data []byte
}

// Refused is the answer if the replica did not apply the command, or does not know
// whether it was applied.
type Refused struct {
	// Leader is the address of the leader, if the replica is not the leader and knows
	// which one is. The command should then be sent there.
	Leader netip.AddrPort
	// Kind is Unavailable if the command should be sent again. The command may have been
	// applied in that case.
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// Messages returns the codec entries of the messages of this package.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[SubmitCommand](Kind),
		encoder.Message[Refused]("Refused"),
	}
}
