package parser

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"celeryvalve/identifier"
)

// Print renders the settings as TOML, without the tables of roles that the
// process doesn't have. ParseSettings reads the same settings back.
func Print(s Settings) []byte {
	f := formatter{hidden: make(map[Path]bool)}
	for _, role := range []Role{Entry, Agent} {
		f.hidden[Path(role)] = !s.Has(role)
	}
	f.table("", reflect.ValueOf(s))
	return f.text()
}

// Format renders a struct as TOML that DecodeInto reads back: scalars first,
// then a table for each struct and map, with map keys in order.
func Format(value any) []byte {
	var f formatter
	f.table("", reflect.ValueOf(value))
	return f.text()
}

// Flatten returns the text of each value of a struct that isn't zero, by path. A
// map's element without such a value is there as an empty table.
func Flatten(value any) map[Path]string {
	flat := make(map[Path]string)
	flatten(flat, "", reflect.ValueOf(value))
	return flat
}

func flatten(flat map[Path]string, path Path, table reflect.Value) {
	for _, m := range membersOf(table) {
		inner := path.Key(m.name)
		before := len(flat)
		switch {
		case isTable(m.value):
			flatten(flat, inner, m.value)
		case !m.value.IsZero():
			flat[inner] = formatValue(m.value)
		}
		if table.Kind() == reflect.Map && len(flat) == before {
			flat[inner] = "{}"
		}
	}
}

type formatter struct {
	strings.Builder
	hidden map[Path]bool // tables that are left out
}

func (f *formatter) text() []byte {
	return []byte(strings.TrimPrefix(f.String(), "\n"))
}

// member is one key of a table with its value.
type member struct {
	name  string
	value reflect.Value
}

func (f *formatter) table(path Path, table reflect.Value) {
	members := membersOf(table)
	for _, m := range members {
		if !isTable(m.value) {
			f.keyValue(m)
		}
	}
	for _, m := range members {
		if isTable(m.value) {
			f.header(path.Key(m.name), m.value)
		}
	}
}

func (f *formatter) keyValue(m member) {
	if m.value.Kind() == reflect.Pointer && m.value.IsNil() {
		return
	}
	text := formatValue(m.value)
	if text == "" {
		return // an address that isn't set has no text in TOML
	}
	f.WriteString(string(JoinPath(m.name)) + " = " + text + "\n")
}

func (f *formatter) header(path Path, table reflect.Value) {
	if f.hidden[path] || (table.Kind() == reflect.Map && table.Len() == 0) {
		return
	}
	for _, m := range membersOf(table) {
		if !isTable(m.value) {
			f.WriteString("\n[" + string(path) + "]\n")
			break
		}
	}
	f.table(path, table)
}

func membersOf(table reflect.Value) []member {
	var members []member
	if table.Kind() == reflect.Map {
		it := table.MapRange()
		for it.Next() {
			members = append(members, member{it.Key().String(), it.Value()})
		}
		sort.Slice(members, func(i, j int) bool { return members[i].name < members[j].name })
		return members
	}
	for _, field := range fieldsOf(table.Type()) {
		members = append(members, member{field.Name, table.FieldByIndex(field.Index)})
	}
	return members
}

// fieldCache holds the result of fieldsOf by reflect.Type.
var fieldCache sync.Map

// fieldsOf returns the fields of a struct that are keys, those of embedded structs
// among them.
func fieldsOf(typ reflect.Type) []reflect.StructField {
	if fields, ok := fieldCache.Load(typ); ok {
		return fields.([]reflect.StructField)
	}
	var fields []reflect.StructField
	for _, field := range reflect.VisibleFields(typ) {
		if field.IsExported() && !field.Anonymous {
			fields = append(fields, field)
		}
	}
	fieldCache.Store(typ, fields)
	return fields
}

func isTable(value reflect.Value) bool {
	if isText(value) {
		return false
	}
	return value.Kind() == reflect.Struct || value.Kind() == reflect.Map
}

func isText(value reflect.Value) bool {
	_, ok := value.Interface().(encoding.TextMarshaler)
	return ok
}

// formatValue renders a value on one line, as an inline table where it must be.
func formatValue(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case time.Duration:
		return strconv.Quote(v.String())
	case identifier.BytesPerSecond:
		return strconv.Quote(FormatRate(v))
	case identifier.ByteCount:
		return strconv.Quote(FormatSize(v))
	case encoding.TextMarshaler:
		text, err := v.MarshalText()
		if err != nil || len(text) == 0 {
			return ""
		}
		return quote(string(text))
	}
	switch value.Kind() {
	case reflect.String:
		return quote(value.String())
	case reflect.Slice:
		return formatList(value)
	case reflect.Struct, reflect.Map:
		return formatInline(value)
	case reflect.Pointer:
		return formatValue(value.Elem())
	default:
		return fmt.Sprint(value.Interface())
	}
}

func formatList(value reflect.Value) string {
	elements := make([]string, 0, value.Len())
	for i := range value.Len() {
		elements = append(elements, formatValue(value.Index(i)))
	}
	return "[" + strings.Join(elements, ", ") + "]"
}

func formatInline(value reflect.Value) string {
	var members []string
	for _, m := range membersOf(value) {
		if text := formatValue(m.value); text != "" {
			members = append(members, fmt.Sprintf("%s = %s", JoinPath(m.name), text))
		}
	}
	return "{" + strings.Join(members, ", ") + "}"
}

// quote writes a basic string of TOML, whose escapes are those of Go but for
// the ones of single bytes.
func quote(text string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range text {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
