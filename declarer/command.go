package declarer

import (
	"fmt"
	"sync"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// Replace replaces the whole declaration. The answer is an Answer, or a Rejected if
// the declaration is not valid.
type Replace struct {
	Declaration Declaration
	// Document is the declaration as the operator wrote it. It is stored so that it
	// can be read back unchanged.
	Document []byte
}

// NameRelease sets the wanted release of a model's weights. A number that is not
// higher than the wanted one changes nothing. The answer is an Answer, or a
// Rejected if the model or the number is missing.
type NameRelease struct {
	Model  identifier.Model
	Number ReleaseNumber
}

// PinRelease sets the chunk digests of a release that is not newer than the wanted
// one. Only the first pin of a number takes effect. The answer is an Answer, or a
// Rejected if the model has no release or the pin has no digests.
type PinRelease struct {
	Model  identifier.Model
	Pinned Pinned
}

// Answer is the result of a valid command.
type Answer struct {
	// Changed is false if the command had no effect because an equal or newer one
	// was applied before.
	Changed bool
	// Version is the version of the declaration in force.
	Version identifier.ConfigurationVersion
}

// Rejected is the answer to an invalid command, which changes nothing and should not
// be resent unchanged.
type Rejected struct {
	Problem string
}

// Err returns the rejection as an error.
func (r *Rejected) Err() error {
	return explainer.New(explainer.InvalidInput, r.Problem, "correct the document and send it again")
}

// encodedReplace is the encoding of a Replace in the log. Both fields are
// compressed.
type encodedReplace struct {
	Document []byte
	Rest     []byte // the encoded Declaration
}

func commands() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[encodedReplace]("Declarer.Replace"),
		encoder.Message[NameRelease]("Declarer.NameRelease"),
		encoder.Message[PinRelease]("Declarer.PinRelease"),
		encoder.Message[Evacuate]("Declarer.Evacuate"),
		encoder.Message[Depart]("Declarer.Depart"),
		encoder.Message[quarantiner.ReportCrash]("Declarer.ReportCrash"),
		encoder.Message[quarantiner.ClearSuspects]("Declarer.ClearSuspects"),
	}
}

// Messages returns the codec entries of all commands and their answers.
func Messages() []encoder.MessageType {
	return append(commands(),
		encoder.Message[Answer]("Declarer.Answer"),
		encoder.Message[Rejected]("Declarer.Rejected"),
		encoder.Message[Superseded]("Declarer.Superseded"),
		encoder.Message[quarantiner.Answer]("Declarer.QuarantineAnswer"),
	)
}

// logCodec encodes what is in the log. The Declaration is in a Replace.
var logCodec = sync.OnceValue(func() *encoder.Codec {
	return must(encoder.NewForLog(append(commands(), encoder.Message[Declaration]("Declarer.Declaration"))...))
})

// stateCodec encodes the state, and changes of it. A delta may be larger than the declaration
// that it leads to.
var stateCodec = sync.OnceValue(func() *encoder.Codec {
	return must(encoder.NewForSnapshots(encoder.Message[Delta]("Declarer.Delta"), encoder.Message[snapshot]("Declarer.Snapshot")))
})

func must(c *encoder.Codec, err error) *encoder.Codec {
	if err != nil {
		panic(err) // two message kinds have the same name
	}
	return c
}

// Layout lists the fields of the commands and the state that are kept on disk, as
// encoder.LayoutOf does.
func Layout() []string {
	return append(logCodec().Layout(), stateCodec().Layout()...)
}

// EncodeCommand encodes a command for the log. A Replace is compressed.
func EncodeCommand(command any) ([]byte, error) {
	replace, ok := command.(*Replace)
	if !ok {
		return logCodec().Encode(0, command)
	}
	document, err := compress(replace.Document)
	if err != nil {
		return nil, err
	}
	rest, err := logCodec().Encode(0, replace.Declaration)
	if err != nil {
		return nil, err
	}
	if rest, err = compress(rest); err != nil {
		return nil, err
	}
	return logCodec().Encode(0, encodedReplace{Document: document, Rest: rest})
}

// declaration decompresses and decodes the declaration of the command.
func (p *encodedReplace) declaration() (Declaration, error) {
	data, err := decompress(p.Rest, encoder.MaxFrameSize)
	if err != nil {
		return Declaration{}, err
	}
	_, msg, err := logCodec().Decode(data)
	if err != nil {
		return Declaration{}, err
	}
	d, ok := msg.(*Declaration)
	if !ok {
		return Declaration{}, corrupt(fmt.Errorf("message is a %T, not a declaration", msg))
	}
	return *d, nil
}
