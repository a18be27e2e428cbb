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

// FormatSettings renders the settings as TOML, without the tables of roles that the
// process doesn't have. ParseSettings reads the same settings back.
func FormatSettings(s Settings) []byte {
	f := formatter{omittedTables: make(map[Path]bool)}
	for _, role := range []Role{Entry, Agent} {
		f.omittedTables[Path(role)] = !s.HasRole(role)
	}
	f.writeTable("", reflect.ValueOf(s))
	return f.bytes()
}

// Format renders a struct as TOML that DecodeInto reads back: scalars first,
// then a table for each struct and map, with map keys in order.
func Format(value any) []byte {
	var f formatter
	f.writeTable("", reflect.ValueOf(value))
	return f.bytes()
}

// Flatten maps the path of each non-zero value of a struct to the value in
// TOML. A map element without non-zero values is mapped to an empty table.
func Flatten(value any) map[Path]string {
	flat := make(map[Path]string)
	flatten(flat, "", reflect.ValueOf(value))
	return flat
}

func flatten(flat map[Path]string, path Path, table reflect.Value) {
	for _, entry := range entriesOf(table) {
		entryPath := path.Key(entry.name)
		before := len(flat)
		switch {
		case isTable(entry.value):
			flatten(flat, entryPath, entry.value)
		case !entry.value.IsZero():
			flat[entryPath] = formatValue(entry.value)
		}
		if table.Kind() == reflect.Map && len(flat) == before {
			flat[entryPath] = "{}"
		}
	}
}

type formatter struct {
	strings.Builder
	omittedTables map[Path]bool // whether a table is left out, by path
}

func (f *formatter) bytes() []byte {
	return []byte(strings.TrimPrefix(f.String(), "\n"))
}

// tableEntry is one key of a table with its value.
type tableEntry struct {
	name  string
	value reflect.Value
}

func (f *formatter) writeTable(path Path, table reflect.Value) {
	entries := entriesOf(table)
	for _, entry := range entries {
		if !isTable(entry.value) {
			f.writeKeyValue(entry)
		}
	}
	for _, entry := range entries {
		if isTable(entry.value) {
			f.writeSubtable(path.Key(entry.name), entry.value)
		}
	}
}

func (f *formatter) writeKeyValue(entry tableEntry) {
	if entry.value.Kind() == reflect.Pointer && entry.value.IsNil() {
		return
	}
	text := formatValue(entry.value)
	if text == "" {
		return // an address that isn't set has no text in TOML
	}
	f.WriteString(string(JoinPath(entry.name)) + " = " + text + "\n")
}

func (f *formatter) writeSubtable(path Path, table reflect.Value) {
	if f.omittedTables[path] || (table.Kind() == reflect.Map && table.Len() == 0) {
		return
	}
	for _, entry := range entriesOf(table) {
		if !isTable(entry.value) {
			f.WriteString("\n[" + string(path) + "]\n")
			break
		}
	}
	f.writeTable(path, table)
}

func entriesOf(table reflect.Value) []tableEntry {
	var entries []tableEntry
	if table.Kind() == reflect.Map {
		it := table.MapRange()
		for it.Next() {
			entries = append(entries, tableEntry{it.Key().String(), it.Value()})
		}
		sort.Slice(entries, func(i, j int) bool { return entries[i].name < entries[j].name })
		return entries
	}
	for _, field := range fieldsOf(table.Type()) {
		entries = append(entries, tableEntry{field.Name, table.FieldByIndex(field.Index)})
	}
	return entries
}

// fieldCache caches the results of fieldsOf by reflect.Type.
var fieldCache sync.Map

// fieldsOf returns the fields of a struct type that are keys of a file,
// including those of embedded structs.
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

// formatValue renders a value on one line. Structs and maps become inline
// tables.
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
	var entries []string
	for _, entry := range entriesOf(value) {
		if text := formatValue(entry.value); text != "" {
			entries = append(entries, fmt.Sprintf("%s = %s", JoinPath(entry.name), text))
		}
	}
	return "{" + strings.Join(entries, ", ") + "}"
}

// quote returns text as a basic string of TOML. Its escapes are valid in Go
// too, so that cutKey can unquote them; Go's escapes of single bytes, such as
// \x7f, are not valid in TOML.
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
