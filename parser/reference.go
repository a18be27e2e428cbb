package parser

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"celeryvalve/identifier"
)

// helpTag is the struct tag that holds the description of a field in the
// reference.
const helpTag = "help"

// mapKeyPlaceholder is written in place of a map key in the reference.
const mapKeyPlaceholder = "NAME"

// Reference returns a Markdown table of every key that DecodeInto reads into
// the type of defaults, which must be a struct. Each row has the type of the
// key with its unit, its default, which is its value in defaults, and the help
// tag of its field.
func Reference(defaults any) []byte {
	var b strings.Builder
	b.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	for _, r := range referenceRows("", reflect.ValueOf(defaults)) {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", r.path, r.kind, r.defaultValue, r.help)
	}
	return []byte(b.String())
}

// referenceRow is one row of the reference.
type referenceRow struct {
	path         Path
	kind         string
	defaultValue string
	help         string
}

func referenceRows(path Path, table reflect.Value) []referenceRow {
	var rows []referenceRow
	for _, field := range fieldsOf(table.Type()) {
		value := table.FieldByIndex(field.Index)
		rows = append(rows, fieldRows(path.Key(field.Name), value, field.Tag.Get(helpTag))...)
	}
	return rows
}

func fieldRows(path Path, value reflect.Value, help string) []referenceRow {
	switch {
	case isTable(value) && value.Kind() == reflect.Struct:
		return referenceRows(path, value)
	case value.Kind() == reflect.Map:
		return fieldRows(path.Key(mapKeyPlaceholder), newElement(value.Type().Elem()), help)
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		return referenceRows(path+"[]", reflect.New(value.Type().Elem()).Elem())
	default:
		return []referenceRow{{path: path, kind: describeType(value.Type()), defaultValue: describeDefault(value), help: help}}
	}
}

// newElement returns a new element of a map with its defaults.
func newElement(typ reflect.Type) reflect.Value {
	element := reflect.New(typ)
	if defaulter, ok := element.Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
	return element.Elem()
}

func describeType(typ reflect.Type) string {
	switch zero := reflect.Zero(typ).Interface().(type) {
	case time.Duration:
		return `duration, as "2s"`
	case identifier.BytesPerSecond:
		return `rate, as "20Mbit/s" or "5MB/s"`
	case identifier.ByteCount:
		return `size, as "512MiB"`
	case identifier.Digest:
		return "SHA-256, 64 hexadecimal digits"
	case netip.AddrPort:
		return `IP number and port, as "10.0.0.7:7400"`
	case Enumeration:
		return strings.Join(zero.Values(), ", ")
	case encoding.TextMarshaler:
		return "text"
	}
	switch typ.Kind() {
	case reflect.Slice:
		return "list: " + describeType(typ.Elem())
	default:
		return targetTypeName(reflect.Zero(typ))
	}
}

func describeDefault(value reflect.Value) string {
	text := formatValue(value)
	if text == "" || text == `""` || text == "[]" || (value.IsZero() && value.Kind() == reflect.Array) {
		return "none"
	}
	return "`" + text + "`"
}
