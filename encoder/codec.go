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

const (
	// MaxFrameSize is the size of the largest frame of a message or a command, in bytes.
	MaxFrameSize identifier.ByteCount = 8 << 20
	// maxSnapshotFrameSize is that of the largest frame of a snapshot, which holds what many
	// commands have brought.
	maxSnapshotFrameSize identifier.ByteCount = 256 << 20
	// maxArrayElements and maxSnapshotElements are the lengths of the longest arrays.
	maxArrayElements    = 1 << 20
	maxSnapshotElements = 1 << 24
)

// Kind is the name of a message type on the wire.
type Kind string

// Header holds the data that a frame carries besides its message.
type Header struct {
	Kind                 Kind
	ConfigurationVersion identifier.ConfigurationVersion // of the sender
	// LeftOut lists the parts of the message that Decode could not read and left out.
	LeftOut []LeftOut
}

// MessageType maps a kind of message to a Go type. Message returns one.
type MessageType struct {
	kind     Kind
	typ      reflect.Type
	optional []string
}

// Message returns the entry with which a codec decodes messages of the kind into a *T.
func Message[T any](kind Kind) MessageType {
	return MessageType{kind: kind, typ: reflect.TypeFor[T]()}
}

// Optional returns the entry with fields, by their names in Go, without which the rest of a
// message still holds. Decode leaves out such a field that it can't read, or of a slice the
// elements that it can't read, and lists them in the header.
func (e MessageType) Optional(fields ...string) MessageType {
	e.optional = fields
	return e
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

// Codec encodes and decodes a fixed set of messages. It encodes nothing that it can't decode.
// It is safe for concurrent use.
type Codec struct {
	maxSize  identifier.ByteCount
	textOnly bool // strings must be valid UTF-8
	types    map[Kind]reflect.Type
	kinds    map[reflect.Type]Kind
	optional map[Kind][]string
	enc      cbor.EncMode
	dec      cbor.DecMode
}

// New returns a codec for messages between processes. Strings may hold any bytes, as those that
// callers send do; what a name may hold is checked where it comes in. It returns an error if two
// entries have the same kind, or an optional field does not exist.
func New(entries ...MessageType) (*Codec, error) {
	return newCodec(Codec{maxSize: MaxFrameSize}, maxArrayElements, entries)
}

// NewForLog returns a codec for the commands of a replicated log. Strings that are not valid
// UTF-8 are errors, now and in every release: replicas must agree on what a command is.
func NewForLog(entries ...MessageType) (*Codec, error) {
	return newCodec(Codec{maxSize: MaxFrameSize, textOnly: true}, maxArrayElements, entries)
}

// NewForSnapshots returns a codec for the parts of a state that is kept on disk, whose frames
// may be larger than messages.
func NewForSnapshots(entries ...MessageType) (*Codec, error) {
	return newCodec(Codec{maxSize: maxSnapshotFrameSize}, maxSnapshotElements, entries)
}

func newCodec(c Codec, maxElements int, entries []MessageType) (*Codec, error) {
	text := cbor.UTF8DecodeInvalid
	if c.textOnly {
		text = cbor.UTF8RejectInvalid
	}
	var err error
	c.enc, err = cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, err
	}
	c.dec, err = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, UTF8: text}.DecMode()
	if err != nil {
		return nil, err
	}
	c.types, c.kinds, c.optional = make(map[Kind]reflect.Type), make(map[reflect.Type]Kind), make(map[Kind][]string)
	for _, e := range entries {
		if _, ok := c.types[e.kind]; ok {
			return nil, fmt.Errorf("message kind %q is defined twice", e.kind)
		}
		for _, field := range e.optional {
			if _, ok := e.typ.FieldByName(field); !ok {
				return nil, fmt.Errorf("message kind %q has no field %q", e.kind, field)
			}
		}
		c.optional[e.kind] = e.optional
		c.types[e.kind] = e.typ
		c.kinds[e.typ] = e.kind
	}
	return &c, nil
}

// Encode returns the frame of msg, which is a T or *T of one of the codec's entries. For
// any other type it returns an error of kind Internal, and for a message that Decode could not
// read, such as one that is too large, an error of kind InvalidInput.
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
	data, err := c.enc.Marshal(frame{Format: FormatVersion, Kind: kind, ConfigurationVersion: version, Body: body})
	if err != nil {
		return nil, err
	}
	if identifier.ByteCount(len(data)) > c.maxSize {
		return nil, explainer.New(explainer.InvalidInput, fmt.Sprintf("message %s has %d bytes, but a frame has at most %d", kind, len(data), c.maxSize),
			"split it into several messages")
	}
	err = c.dec.Wellformed(data)
	if err == nil && c.textOnly {
		err = c.dec.Unmarshal(body, reflect.New(typ).Interface())
	}
	if err != nil {
		return nil, explainer.Wrap(err, explainer.InvalidInput, fmt.Sprintf("message %s could not be read by its receiver", kind), "correct its contents")
	}
	return data, nil
}

// Decode returns the header of a frame and its message, as a pointer to the Go type of the
// kind. All of its errors are of kind Corrupt. If the frame is of a known kind, the header is
// returned with an error too.
func (c *Codec) Decode(data []byte) (Header, any, error) {
	var f frame
	if identifier.ByteCount(len(data)) > c.maxSize {
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
	err := c.dec.Unmarshal(f.Body, msg.Interface())
	if err != nil && len(c.optional[f.Kind]) > 0 {
		msg.Elem().SetZero()
		header.LeftOut, err = c.decodeParts(f.Body, msg.Elem(), c.optional[f.Kind])
	}
	if err != nil {
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
