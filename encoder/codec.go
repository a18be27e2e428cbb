package encoder

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// FormatVersion is the version of the frame's layout.
const FormatVersion = 1

// MaxFrame is the largest frame that is encoded or decoded, in bytes.
const MaxFrame identifier.ByteCount = 8 << 20

// Kind names the type of a message on the wire.
type Kind string

// Header is what every frame carries besides its message.
type Header struct {
	Kind                 Kind
	ConfigurationVersion identifier.ConfigurationVersion
}

// Entry ties a kind to a Go type. Message makes one.
type Entry struct {
	kind Kind
	typ  reflect.Type
}

// Message returns the entry that decodes the kind into a *T.
func Message[T any](kind Kind) Entry {
	return Entry{kind: kind, typ: reflect.TypeFor[T]()}
}

// Kind returns the kind of the entry's messages.
func (e Entry) Kind() Kind {
	return e.kind
}

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

// New returns a codec of the entries. Two entries of one kind are an error.
func New(entries ...Entry) (*Codec, error) {
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

// Encode returns the frame of msg, a T or *T of a known entry.
func (c *Codec) Encode(version identifier.ConfigurationVersion, msg any) ([]byte, error) {
	typ := reflect.TypeOf(msg)
	if typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	kind, ok := c.kinds[typ]
	if !ok {
		return nil, explainer.New(explainer.Internal, fmt.Sprintf("message type %v is not known to the codec", typ),
			"add it to the entries of the codec")
	}
	body, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, err
	}
	return c.enc.Marshal(frame{Format: FormatVersion, Kind: kind, ConfigurationVersion: version, Body: body})
}

// Decode returns the header and the message, a pointer to the type of its kind.
func (c *Codec) Decode(data []byte) (Header, any, error) {
	var f frame
	if identifier.ByteCount(len(data)) > MaxFrame {
		return Header{}, nil, corrupt("frame is larger than the limit", nil)
	}
	if err := c.dec.Unmarshal(data, &f); err != nil {
		return Header{}, nil, corrupt("frame is malformed", err)
	}
	if f.Format != FormatVersion {
		return Header{}, nil, corrupt(fmt.Sprintf("frame has format version %d, not %d", f.Format, FormatVersion), nil)
	}
	typ, ok := c.types[f.Kind]
	if !ok {
		return Header{}, nil, corrupt(fmt.Sprintf("message kind %q is not known", f.Kind), nil)
	}
	msg := reflect.New(typ)
	if err := c.dec.Unmarshal(f.Body, msg.Interface()); err != nil {
		return Header{}, nil, corrupt(fmt.Sprintf("message %s is malformed", f.Kind), err)
	}
	return Header{Kind: f.Kind, ConfigurationVersion: f.ConfigurationVersion}, msg.Interface(), nil
}

func corrupt(problem string, cause error) error {
	const remedy = "check that both processes run compatible releases"
	if cause == nil {
		return explainer.New(explainer.Corrupt, problem, remedy)
	}
	return explainer.Wrap(cause, explainer.Corrupt, problem, remedy)
}
