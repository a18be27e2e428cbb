package encoder

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Layout lists the fields of all messages of the codec, one line for each. Two releases
// can read each other's messages if the lines of one are among those of the other.
func (c *Codec) Layout() []string {
	var lines []string
	for _, kind := range slices.Sorted(maps.Keys(c.types)) {
		lines = append(lines, LayoutOf(string(kind), c.types[kind])...)
	}
	return lines
}

// LayoutOf lists the fields of a type that is encoded as CBOR, one line for each, with names
// that begin with name.
func LayoutOf(name string, t reflect.Type) []string {
	l := layout{open: make(map[reflect.Type]bool)}
	l.add(name, t)
	return l.lines
}

// layout collects lines. open holds the structs that are being described, so that a type that
// contains itself ends.
type layout struct {
	lines []string
	open  map[reflect.Type]bool
}

func (l *layout) add(name string, t reflect.Type) {
	switch {
	case encodesItself(t) || l.open[t]:
		l.lines = append(l.lines, fmt.Sprintf("%s %s", name, t))
	case t.Kind() == reflect.Pointer:
		l.add(name, t.Elem())
	case t.Kind() == reflect.Slice || t.Kind() == reflect.Array:
		l.add(name+"[]", t.Elem())
	case t.Kind() == reflect.Map:
		l.add(name+"{key}", t.Key())
		l.add(name+"{}", t.Elem())
	case t.Kind() == reflect.Struct:
		l.addStruct(name, t)
	default:
		l.lines = append(l.lines, fmt.Sprintf("%s %s", name, t.Kind()))
	}
}

func (l *layout) addStruct(name string, t reflect.Type) {
	l.open[t] = true
	defer delete(l.open, t)
	var fields []string
	array := false
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("cbor")
		if f.Name == "_" && strings.Contains(tag, "toarray") {
			array = true
		}
		if f.IsExported() && tag != "-" {
			fields = append(fields, f.Name)
			l.add(name+"."+f.Name, f.Type)
		}
	}
	if array {
		// An array has a fixed length, so that no field can be added to it.
		l.lines = append(l.lines, fmt.Sprintf("%s array of %s", name, strings.Join(fields, " ")))
	}
}

func encodesItself(t reflect.Type) bool {
	binary, text := reflect.TypeFor[encoding.BinaryMarshaler](), reflect.TypeFor[encoding.TextMarshaler]()
	return t.Implements(binary) || t.Implements(text) || t.Kind() == reflect.Interface
}
