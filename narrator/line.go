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

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Part     string
	Message  string
	// Fields are all others, by name.
	Fields map[string]any
}

// common are the fields that have a place of their own in a Line.
var common = []string{"ts", "level", "logger", "msg", "instance"}

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// readLines gives the lines of a log to take.
func readLines(name string, r io.Reader, take func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			take(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return explainer.Wrap(err, explainer.InvalidInput, fmt.Sprintf("log %q can't be read", name), "name a file of JSON lines")
	}
	return nil
}

// parseLine reads a line, or reports false where it holds no object of a log.
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
	for _, name := range common {
		delete(fields, name)
	}
	return line, true
}

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

// field returns a field as text, or nothing.
func (l Line) field(name string) string {
	return textOf(l.Fields[name])
}

// String renders the line for people.
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
