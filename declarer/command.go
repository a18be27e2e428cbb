package declarer

import (
	"fmt"
	"sync"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Replace declares everything anew. The answer is an Answer, or Rejected for a
// declaration with faults.
type Replace struct {
	Declaration Declaration
	// Document is what the operator sent, for reading it back.
	Document []byte
}

// NameRelease says which weights of a model are wanted. The answer is an Answer.
type NameRelease struct {
	Model  identifier.Model
	Number ReleaseNumber
}

// PinRelease gives the digests of a named release. The first pin of a number
// holds. The answer is an Answer.
type PinRelease struct {
	Model  identifier.Model
	Pinned Pinned
}

// Answer says what became of a command.
type Answer struct {
	// Changed is false where the command was overtaken by a newer one.
	Changed bool
	// Version is that of the declaration in force.
	Version identifier.ConfigurationVersion
}

// Rejected answers a command that changed nothing and never will.
type Rejected struct {
	Problem string
}

// Err returns the rejection as an error.
func (r *Rejected) Err() error {
	return explainer.New(explainer.InvalidInput, r.Problem, "mend the document and send it again")
}

// packedReplace is a Replace as it stands in the log.
type packedReplace struct {
	Document []byte
	Rest     []byte
}

func commands() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[packedReplace]("Declarer.Replace"),
		encoder.Message[NameRelease]("Declarer.NameRelease"),
		encoder.Message[PinRelease]("Declarer.PinRelease"),
	}
}

// Messages returns the entries of the commands and their answers.
func Messages() []encoder.Entry {
	return append(commands(),
		encoder.Message[Answer]("Declarer.Answer"),
		encoder.Message[Rejected]("Declarer.Rejected"),
	)
}

var codec = sync.OnceValue(func() *encoder.Codec {
	c, err := encoder.New(append(commands(),
		encoder.Message[Declaration]("Declarer.Declaration"),
		encoder.Message[Delta]("Declarer.Delta"),
		encoder.Message[snapshot]("Declarer.Snapshot"),
	)...)
	if err != nil {
		panic(err) // two kinds bear one name
	}
	return c
})

// EncodeCommand returns the bytes of a command for the log.
func EncodeCommand(command any) ([]byte, error) {
	replace, ok := command.(*Replace)
	if !ok {
		return codec().Encode(0, command)
	}
	document, err := pack(replace.Document)
	if err != nil {
		return nil, err
	}
	rest, err := codec().Encode(0, replace.Declaration)
	if err != nil {
		return nil, err
	}
	if rest, err = pack(rest); err != nil {
		return nil, err
	}
	return codec().Encode(0, packedReplace{Document: document, Rest: rest})
}

// declaration returns the declaration of the command.
func (p *packedReplace) declaration() (Declaration, error) {
	data, err := unpack(p.Rest)
	if err != nil {
		return Declaration{}, err
	}
	_, msg, err := codec().Decode(data)
	if err != nil {
		return Declaration{}, err
	}
	d, ok := msg.(*Declaration)
	if !ok {
		return Declaration{}, corrupt(fmt.Errorf("a %T is no declaration", msg))
	}
	return *d, nil
}
