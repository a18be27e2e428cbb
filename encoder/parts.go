package encoder

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// maxQuoted is how many bytes of a part that can't be read are quoted.
const maxQuoted = 96

// LeftOut is a part of a message that can't be decoded and was left out.
type LeftOut struct {
	// Field is the name of the field that the part belongs to.
	Field string
	// Err names the part and quotes the beginning of its encoding.
	Err error
}

// decodeParts decodes the body of a message into msg and leaves out what it can't read of the
// optional fields.
func (c *Codec) decodeParts(body []byte, msg reflect.Value, optional []string) ([]LeftOut, error) {
	var fields map[string]cbor.RawMessage
	if err := c.dec.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	parts := make(map[string]cbor.RawMessage)
	for _, name := range optional {
		if raw, ok := fields[name]; ok {
			parts[name] = raw
			delete(fields, name)
		}
	}
	rest, err := c.enc.Marshal(fields)
	if err != nil {
		return nil, err
	}
	if err := c.dec.Unmarshal(rest, msg.Addr().Interface()); err != nil {
		return nil, err
	}
	var left []LeftOut
	for _, name := range optional {
		if raw, ok := parts[name]; ok {
			left = append(left, c.decodePart(name, raw, msg.FieldByName(name))...)
		}
	}
	return left, nil
}

// decodePart decodes an optional field, a slice element by element.
func (c *Codec) decodePart(name string, raw cbor.RawMessage, field reflect.Value) []LeftOut {
	var elements []cbor.RawMessage
	if field.Kind() != reflect.Slice || c.dec.Unmarshal(raw, &elements) != nil {
		return c.decodeInto(name, name, raw, field)
	}
	var left []LeftOut
	for i, element := range elements {
		value := reflect.New(field.Type().Elem()).Elem()
		problems := c.decodeInto(name, fmt.Sprintf("%s[%d]", name, i), element, value)
		if problems == nil {
			field.Set(reflect.Append(field, value))
		}
		left = append(left, problems...)
	}
	return left
}

// decodeInto decodes one part into value, which it leaves at zero if it can't.
func (c *Codec) decodeInto(field, part string, raw cbor.RawMessage, value reflect.Value) []LeftOut {
	decoded := reflect.New(value.Type())
	if err := c.dec.Unmarshal(raw, decoded.Interface()); err != nil {
		quoted := raw[:min(len(raw), maxQuoted)]
		return []LeftOut{{Field: field, Err: fmt.Errorf("%s, which begins with %q, is malformed: %w", part, quoted, err)}}
	}
	value.Set(decoded.Elem())
	return nil
}
