package narrator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"celeryvalve/explainer"
)

// Line is one parsed line of a log.
type Line struct {
	Time time.Time
	// Instance is the process that wrote the line.
	Instance string
	// Part is the name of the logger in the process.
	Part    string
	Message string
	// Fields are the other fields by name, without the level.
	Fields map[string]any
}

// standardFields are the log fields that are left out of Line.Fields: those that have a
// field of Line, and the level.
var standardFields = []string{"ts", "level", "logger", "msg", "instance"}

// maxLine is the length limit of a line, in bytes. Reading a log with a longer line
// fails.
const maxLine = 1 << 20

// readLines calls handle for each line of a log that parseLine can parse.
func readLines(name string, r io.Reader, handle func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			handle(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return explainer.Wrap(err, explainer.InvalidInput, fmt.Sprintf("log %q can't be read", name), "name a file of JSON lines")
	}
	return nil
}

// parseLine parses a line. It returns false if the line contains no JSON object or the
// object has no valid time.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, textOf(fields["ts"]))
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Instance: textOf(fields["instance"]), Part: textOf(fields["logger"]), Message: textOf(fields["msg"]), Fields: fields}
	for _, name := range standardFields {
		delete(fields, name)
	}
	return line, true
}

// textOf formats a value of a JSON object. A missing value is the empty string.
func textOf(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case nil:
		return ""
	default:
		return fmt.Sprint(v)
	}
}

// field returns a field as text, or the empty string if it is missing.
func (l Line) field(name string) string {
	return textOf(l.Fields[name])
}

// String formats the line for display, its fields sorted by name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Part, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.field(name))
	}
	return b.String()
}
