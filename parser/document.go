package parser

import (
	"errors"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"celeryvalve/explainer"
)

// maxKeyDepth limits how many parts of a dotted key get a position. No key of
// the project's files has as many parts, and the total length of the paths
// grows with the square of the number of parts.
const maxKeyDepth = 32

// Position is the place of a value in a file. Line and Column start at 1; zero
// means that the value is not in the file.
type Position struct {
	Line   int
	Column int
}

// Document holds the values of one file and their positions.
type Document struct {
	file      string
	positions map[Path]Position
	values    map[string]any // as decoded by the TOML library
}

// Position returns the position of the path or, if the file doesn't have it,
// that of the nearest enclosing table or list in the file.
func (d *Document) Position(path Path) Position {
	if d == nil {
		return Position{}
	}
	for {
		if pos, ok := d.positions[path]; ok {
			return pos
		}
		parent, ok := path.Parent()
		if !ok {
			return Position{}
		}
		path = parent
	}
}

// Has reports whether the path itself is in the file.
func (d *Document) Has(path Path) bool {
	if d == nil {
		return false
	}
	_, ok := d.positions[path]
	return ok
}

// NewFault returns a fault at the path, with the file and the position of the
// path.
func (d *Document) NewFault(path Path, problem, remedy string) explainer.Fault {
	pos := d.Position(path)
	fault := explainer.Fault{
		Line:    pos.Line,
		Column:  pos.Column,
		Path:    string(path),
		Problem: problem,
		Remedy:  remedy,
	}
	if d != nil {
		fault.File = d.file
	}
	return fault
}

// Parse reads the values of data and their positions, for DecodeDocument. For a syntax
// error it adds a fault, and the document holds the values in the lines before
// the faulty one, or nothing if these lines don't parse either.
func Parse(file string, data []byte, faults *explainer.Faults) *Document {
	doc := &Document{file: file, positions: make(map[Path]Position)}
	values, fault := readValues(doc, data)
	if fault != nil {
		faults.Add(*fault)
		data = linesBefore(data, fault.Line)
		values, fault = readValues(doc, data)
	}
	if fault == nil {
		doc.values = values
		doc.readPositions(data)
	}
	return doc
}

func readValues(doc *Document, data []byte) (map[string]any, *explainer.Fault) {
	values := make(map[string]any)
	err := toml.Unmarshal(data, &values)
	if err == nil {
		return values, nil
	}
	fault := doc.NewFault("", err.Error(), "correct the TOML syntax")
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		fault.Line, fault.Column = decodeErr.Position()
		fault.Path = string(JoinPath(decodeErr.Key()...))
	}
	return nil, &fault
}

// linesBefore returns the lines of data before the given one.
func linesBefore(data []byte, line int) []byte {
	for i, c := range data {
		if line <= 1 {
			return data[:i]
		}
		if c == '\n' {
			line--
		}
	}
	return nil
}

// readPositions records the positions of the keys and list elements of data,
// which must be valid TOML.
func (d *Document) readPositions(data []byte) {
	w := &positionWalker{doc: d, elementCounts: make(map[Path]int), lineStarts: lineStarts(data)}
	w.parser.Reset(data)
	for w.parser.NextExpression() {
		w.visitExpression(w.parser.Expression())
	}
}

// positionWalker visits the expressions of a file in order and records their
// positions in doc.
type positionWalker struct {
	doc           *Document
	parser        unstable.Parser
	currentTable  Path
	elementCounts map[Path]int // elements visited so far, by array of tables
	lineStarts    []int        // byte offset of the start of each line
}

// lineStarts returns the byte offset of the start of each line.
func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (w *positionWalker) visitExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		w.currentTable = w.recordKeys("", node)
	case unstable.ArrayTable:
		list := w.recordKeys("", node)
		w.currentTable = list.Index(w.elementCounts[list])
		w.elementCounts[list]++
		w.doc.positions[w.currentTable] = w.doc.positions[list]
	case unstable.KeyValue:
		w.visitKeyValue(w.currentTable, node)
	}
}

func (w *positionWalker) visitKeyValue(table Path, node *unstable.Node) {
	path := w.recordKeys(table, node)
	w.visitValue(path, node.Value())
}

// recordKeys records the position of each key of the node and returns the path
// of the last one.
func (w *positionWalker) recordKeys(table Path, node *unstable.Node) Path {
	path := table
	it := node.Key()
	for depth := 0; depth < maxKeyDepth && it.Next(); depth++ {
		path = path.Key(string(it.Node().Data))
		if n := w.elementCounts[path]; n > 0 && !it.IsLast() {
			path = path.Index(n - 1)
		}
		if _, ok := w.doc.positions[path]; !ok || it.IsLast() {
			w.recordPosition(path, it.Node())
		}
	}
	return path
}

func (w *positionWalker) visitValue(path Path, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		it := node.Children()
		for it.Next() {
			w.visitKeyValue(path, it.Node())
		}
	case unstable.Array:
		n := 0
		it := node.Children()
		for it.Next() {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			element := path.Index(n)
			w.recordPosition(element, it.Node())
			w.visitValue(element, it.Node())
			n++
		}
	}
}

// recordPosition records where a node starts. Some nodes have no range in the
// source; for these Document.Position returns the position of an enclosing
// path.
func (w *positionWalker) recordPosition(path Path, node *unstable.Node) {
	if node.Raw.Length == 0 {
		return
	}
	offset := int(node.Raw.Offset)
	line := sort.SearchInts(w.lineStarts, offset+1)
	w.doc.positions[path] = Position{Line: line, Column: offset - w.lineStarts[line-1] + 1}
}
