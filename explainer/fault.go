package explainer

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one mistake in an input, with where it stands and how to mend it.
type Fault struct {
	File    string
	Line    int
	Column  int
	Path    string
	Problem string
	Remedy  string
}

// String returns "file:line:column: path: problem: remedy".
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

// Faults collects every mistake of one input, so that all show at once.
type Faults struct {
	list []Fault
}

// Add takes in one fault.
func (f *Faults) Add(fault Fault) {
	f.list = append(f.list, fault)
}

// List returns the faults by file and position.
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

// Err returns an InvalidInput error that lists every fault, or nil without faults.
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
