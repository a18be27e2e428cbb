package parser

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Enumeration is a string type with a fixed set of values.
type Enumeration interface {
	Values() []string
}

// Defaulter is implemented by map elements that have defaults. SetDefaults is
// called on a new element before its keys are decoded.
type Defaulter interface {
	SetDefaults()
}

// Decode reads data into a new T. The error lists every fault. The document
// is never nil.
func Decode[T any](file string, data []byte) (T, *Document, error) {
	var value T
	doc, err := DecodeInto(file, data, &value)
	return value, doc, err
}

// DecodeInto decodes data into value. A key that the file doesn't have leaves
// its field unchanged, map elements are updated key by key, and lists are
// replaced. Maps are copied before they are changed, so value may share its
// maps with other values. When there is an error, value may be changed in part.
func DecodeInto[T any](file string, data []byte, value *T) (*Document, error) {
	var faults explainer.Faults
	doc := DecodeWithFaults(file, data, value, &faults)
	return doc, faults.Err()
}

// DecodeWithFaults is like DecodeInto, but adds the faults to a list to which the caller
// can add others.
func DecodeWithFaults[T any](file string, data []byte, value *T, faults *explainer.Faults) *Document {
	doc := Parse(file, data, faults)
	DecodeDocument(doc, value, faults)
	return doc
}

// DecodeDocument decodes the values of the document into value, as DecodeInto does. One
// document can be decoded into several values.
func DecodeDocument[T any](doc *Document, value *T, faults *explainer.Faults) {
	d := &decoder{doc: doc, faults: faults}
	d.decodeValue("", doc.values, reflect.ValueOf(value).Elem())
}

type decoder struct {
	doc    *Document
	faults *explainer.Faults
}

func (d *decoder) addFault(path Path, problem, remedy string) {
	d.faults.Add(d.doc.NewFault(path, problem, remedy))
}

// decodeValue decodes source, as returned by the TOML library, into target.
func (d *decoder) decodeValue(path Path, source any, target reflect.Value) {
	if d.decodeText(path, source, target) {
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, source, target)
	case reflect.Map:
		d.decodeMap(path, source, target)
	case reflect.Slice:
		d.decodeList(path, source, target)
	case reflect.Pointer:
		fresh := reflect.New(target.Type().Elem())
		if !target.IsNil() {
			fresh.Elem().Set(target.Elem())
		}
		d.decodeValue(path, source, fresh.Elem())
		target.Set(fresh)
	default:
		d.decodeScalar(path, source, target)
	}
}

// decodeText decodes the types that textParser supports and reports whether
// target has one of them.
func (d *decoder) decodeText(path Path, source any, target reflect.Value) bool {
	parse, example := textParser(target)
	if parse == nil {
		return false
	}
	text, ok := source.(string)
	if !ok {
		d.addFault(path, fmt.Sprintf("value is %s, not text", sourceTypeName(source)), example)
		return true
	}
	if err := parse(text); err != nil {
		d.addFault(path, err.Error(), example)
	}
	return true
}

// textParser returns a function that parses text into target, and an example
// for the remedy. The function is nil if the type of target is not one that is
// parsed from text.
func textParser(target reflect.Value) (parse func(string) error, example string) {
	switch t := target.Addr().Interface().(type) {
	case *time.Duration:
		return parseInto(t, ParseDuration), durationExample
	case *identifier.BytesPerSecond:
		return parseInto(t, ParseRate), rateExample
	case *identifier.ByteCount:
		return parseInto(t, ParseSize), sizeExample
	case *netip.AddrPort:
		return parseInto(t, parseAddress), `write an IP number and a port, such as "10.0.0.7:7400"`
	case encoding.TextUnmarshaler:
		return func(text string) error { return t.UnmarshalText([]byte(text)) }, "correct the value"
	}
	if values, ok := target.Interface().(Enumeration); ok && target.Kind() == reflect.String {
		return parseEnumerationInto(target, values.Values()), "write one of " + strings.Join(values.Values(), ", ")
	}
	return nil, ""
}

func parseInto[V any](target *V, parse func(string) (V, error)) func(string) error {
	return func(text string) error {
		v, err := parse(text)
		if err != nil {
			return err
		}
		*target = v
		return nil
	}
}

func parseEnumerationInto(target reflect.Value, values []string) func(string) error {
	return func(text string) error {
		if !slices.Contains(values, text) {
			return fmt.Errorf("value %q is not known", text)
		}
		target.SetString(text)
		return nil
	}
}

func parseAddress(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fmt.Errorf("address %q is not an IP number with a port", text)
	}
	return addr, nil
}

func (d *decoder) decodeStruct(path Path, source any, target reflect.Value) {
	table, ok := source.(map[string]any)
	if !ok {
		if source != nil {
			d.addTypeMismatch(path, source, "a table")
		}
		return
	}
	for _, name := range sortedKeys(table) {
		fieldPath := path.Key(name)
		field, ok := target.Type().FieldByName(name)
		if !ok || !field.IsExported() || field.Anonymous {
			d.addFault(fieldPath, "key is not known", "use one of "+strings.Join(fieldNames(target.Type()), ", "))
			continue
		}
		d.decodeValue(fieldPath, table[name], target.FieldByIndex(field.Index))
	}
}

func (d *decoder) decodeMap(path Path, source any, target reflect.Value) {
	table, ok := source.(map[string]any)
	if !ok {
		d.addTypeMismatch(path, source, "a table")
		return
	}
	target.Set(cloneMap(target)) // the old map may be shared
	for _, name := range sortedKeys(table) {
		key := reflect.New(target.Type().Key()).Elem()
		key.SetString(name)
		element := reflect.New(target.Type().Elem())
		if old := target.MapIndex(key); old.IsValid() {
			element.Elem().Set(old)
		} else if defaulter, ok := element.Interface().(Defaulter); ok {
			defaulter.SetDefaults()
		}
		d.decodeValue(path.Key(name), table[name], element.Elem())
		target.SetMapIndex(key, element.Elem())
	}
	if target.Len() == 0 {
		target.SetZero()
	}
}

func cloneMap(m reflect.Value) reflect.Value {
	clone := reflect.MakeMapWithSize(m.Type(), m.Len())
	it := m.MapRange()
	for it.Next() {
		clone.SetMapIndex(it.Key(), it.Value())
	}
	return clone
}

func (d *decoder) decodeList(path Path, source any, target reflect.Value) {
	elements, ok := source.([]any)
	if !ok {
		d.addTypeMismatch(path, source, "a list")
		return
	}
	if len(elements) == 0 {
		target.SetZero() // an empty list is always nil, so that equal values compare equal
		return
	}
	list := reflect.MakeSlice(target.Type(), len(elements), len(elements))
	for i, element := range elements {
		d.decodeValue(path.Index(i), element, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) decodeScalar(path Path, source any, target reflect.Value) {
	switch v := source.(type) {
	case string:
		if target.Kind() == reflect.String {
			target.SetString(v)
			return
		}
	case bool:
		if target.Kind() == reflect.Bool {
			target.SetBool(v)
			return
		}
	case int64:
		if d.decodeInteger(path, v, target) {
			return
		}
	case float64:
		if target.CanFloat() && !math.IsNaN(v) && !math.IsInf(v, 0) {
			target.SetFloat(v)
			return
		}
	}
	d.addTypeMismatch(path, source, targetTypeName(target))
}

// decodeInteger stores a whole number in target. It returns false if target is
// not numeric.
func (d *decoder) decodeInteger(path Path, n int64, target reflect.Value) bool {
	switch {
	case target.CanFloat():
		target.SetFloat(float64(n))
	case target.CanInt():
		if target.OverflowInt(n) {
			d.addFault(path, fmt.Sprintf("number %d is too large", n), "write a smaller number")
			return true
		}
		target.SetInt(n)
	case target.CanUint():
		if n < 0 || target.OverflowUint(uint64(n)) {
			d.addFault(path, fmt.Sprintf("number %d is out of range", n), "write 0 or a larger number")
			return true
		}
		target.SetUint(uint64(n))
	default:
		return false
	}
	return true
}

func (d *decoder) addTypeMismatch(path Path, source any, want string) {
	d.addFault(path, fmt.Sprintf("value is %s, not %s", sourceTypeName(source), want), "write "+want)
}

func sourceTypeName(source any) string {
	switch source.(type) {
	case string:
		return "text"
	case bool:
		return "true or false"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

func targetTypeName(target reflect.Value) string {
	switch {
	case target.CanInt(), target.CanUint():
		return "a whole number"
	case target.CanFloat():
		return "a number"
	case target.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "text"
	}
}

func sortedKeys(table map[string]any) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func fieldNames(typ reflect.Type) []string {
	var names []string
	for _, field := range fieldsOf(typ) {
		names = append(names, field.Name)
	}
	return names
}
