package encoder

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// FormatVersion is the version of the frame's layout. Frames of other versions are
// rejected.
const FormatVersion = 1

// MaxFrameSize is the size of the largest frame that Decode accepts, in bytes. Encode does not
// check it; the sender does.
const MaxFrameSize identifier.ByteCount = 8 << 20

// Kind is the name of a message type on the wire.
type Kind string

// Header holds the data that a frame carries besides its message.
type Header struct {
	Kind                 Kind
	ConfigurationVersion identifier.ConfigurationVersion // of the sender
}

// MessageType maps a kind of message to a Go type. Message returns one.
type MessageType struct {
	kind Kind
	typ  reflect.Type
}

// Message returns the entry with which a codec decodes messages of the kind into a *T.
func Message[T any](kind Kind) MessageType {
	return MessageType{kind: kind, typ: reflect.TypeFor[T]()}
}

// Kind returns the kind of the entry's messages.
func (e MessageType) Kind() Kind {
	return e.kind
}

// frame is the CBOR array that is sent. Body is the encoded message.
type frame struct {
	_                    struct{} `cbor:",toarray"`
	Format               uint
	Kind                 Kind
	ConfigurationVersion identifier.ConfigurationVersion
	Body                 cbor.RawMessage
}

// Codec encodes and decodes a fixed set of messages. It is safe for concurrent use.
type Codec struct {
	types map[Kind]reflect.Type
	kinds map[reflect.Type]Kind
	enc   cbor.EncMode
	dec   cbor.DecMode
}

// New returns a codec for the message types of the entries. It returns an error if two
// entries have the same kind.
func New(entries ...MessageType) (*Codec, error) {
	enc, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		return nil, err
	}
	c := &Codec{
		types: make(map[Kind]reflect.Type),
		kinds: make(map[reflect.Type]Kind),
		enc:   enc,
		dec:   dec,
	}
	for _, e := range entries {
		if _, ok := c.types[e.kind]; ok {
			return nil, fmt.Errorf("message kind %q is defined twice", e.kind)
		}
		c.types[e.kind] = e.typ
		c.kinds[e.typ] = e.kind
	}
	return c, nil
}

// Encode returns the frame of msg, which is a T or *T of one of the codec's entries. For
// any other type it returns an error of kind Internal.
func (c *Codec) Encode(version identifier.ConfigurationVersion, msg any) ([]byte, error) {
	typ := reflect.TypeOf(msg)
	if typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	kind, ok := c.kinds[typ]
	if !ok {
		return nil, explainer.New(explainer.Internal, fmt.Sprintf("message type %v is not known to the codec", typ),
			"pass an entry for it to encoder.New")
	}
	body, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, err
	}
	return c.enc.Marshal(frame{Format: FormatVersion, Kind: kind, ConfigurationVersion: version, Body: body})
}

// Decode returns the header of a frame and its message, as a pointer to the Go type of the
// kind. All of its errors are of kind Corrupt. If the frame is of a known kind, the header is
// returned with an error too.
func (c *Codec) Decode(data []byte) (Header, any, error) {
	var f frame
	if identifier.ByteCount(len(data)) > MaxFrameSize {
		return Header{}, nil, corruptError("frame is larger than the limit", nil)
	}
	if err := c.dec.Unmarshal(data, &f); err != nil {
		return Header{}, nil, corruptError("frame is malformed", err)
	}
	if f.Format != FormatVersion {
		return Header{}, nil, corruptError(fmt.Sprintf("frame has format version %d, but this release uses %d", f.Format, FormatVersion), nil)
	}
	typ, ok := c.types[f.Kind]
	if !ok {
		return Header{}, nil, corruptError(fmt.Sprintf("message kind %q is not known", f.Kind), nil)
	}
	header := Header{Kind: f.Kind, ConfigurationVersion: f.ConfigurationVersion}
	msg := reflect.New(typ)
	if err := c.dec.Unmarshal(f.Body, msg.Interface()); err != nil {
		return header, nil, corruptError(fmt.Sprintf("message %s is malformed", f.Kind), err)
	}
	return header, msg.Interface(), nil
}

func corruptError(problem string, cause error) error {
	const remedy = "check that both processes run compatible releases"
	if cause == nil {
		return explainer.New(explainer.Corrupt, problem, remedy)
	}
	return explainer.Wrap(cause, explainer.Corrupt, problem, remedy)
}
