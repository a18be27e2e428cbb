package explainer

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one mistake in an input, with its position and its remedy.
type Fault struct {
	File    string
	Line    int // from 1; zero: not known
	Column  int
	Path    string // the path of the value in the input, as "Entry.Listen"
	Problem string
	Remedy  string
}

// String returns the fault as "file:line:column: path: problem: remedy". It omits
// the parts that are not set.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Problem)
	if f.Remedy != "" {
		fmt.Fprintf(&b, ": %s", f.Remedy)
	}
	return b.String()
}

// Faults collects all the faults of one input, so that they are reported together. The zero
// value is ready to use.
type Faults struct {
	list []Fault
}

// Add adds one fault.
func (f *Faults) Add(fault Fault) {
	f.list = append(f.list, fault)
}

// List returns the faults, sorted by file, line and column.
func (f *Faults) List() []Fault {
	sorted := append([]Fault(nil), f.list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// Err returns an error of kind InvalidInput that lists all faults, one a line, or nil if
// there are none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	lines := make([]string, 0, len(f.list))
	for _, fault := range f.List() {
		lines = append(lines, fault.String())
	}
	return New(InvalidInput, strings.Join(lines, "\n"), "")
}
