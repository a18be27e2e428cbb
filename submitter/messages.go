package submitter

import (
	"net/netip"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
)

// Kind is the kind of the message that opens a submission.
const Kind encoder.Kind = "SubmitCommand"

// SubmitCommand carries one encoded command to a control replica. The answer is
// the result of the state machine, or Refused.
type SubmitCommand struct {
	Data []byte
}

// Refused says why the replica did not apply the command.
type Refused struct {
	// Leader is the replica to ask instead, where it is known.
	Leader  netip.AddrPort
	Kind    explainer.Kind
	Problem string
	Remedy  string
}

// Messages returns the entries of this exchange.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[SubmitCommand](Kind),
		encoder.Message[Refused]("Refused"),
	}
}
