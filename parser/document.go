package parser

import (
	"errors"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"celeryvalve/explainer"
)

// maximumDepth is how many keys of one dotted key are followed. No key of ours has
// as many, and the text of a longer path grows with the square of its keys.
const maximumDepth = 32

// Position is where a value stands in a file. Both numbers start at 1; zero
// means that the value does not stand in the file.
type Position struct {
	Line   int
	Column int
}

// Document knows where the values of one file stand.
type Document struct {
	file      string
	positions map[Path]Position
	values    map[string]any // as the TOML library read them
}

// Position returns where the path stands, or the nearest table around it that
// stands in the file.
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

// Has reports whether the path itself stands in the file.
func (d *Document) Has(path Path) bool {
	if d == nil {
		return false
	}
	_, ok := d.positions[path]
	return ok
}

// Fault returns a fault at the path, with its position.
func (d *Document) Fault(path Path, problem, remedy string) explainer.Fault {
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

// Parse reads the values and positions of data, for Fill. At a fault of syntax
// the document holds what stands before the faulty line.
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
	fault := doc.Fault("", err.Error(), "correct the TOML syntax")
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

// readPositions walks the expressions of data, which has no fault of syntax.
func (d *Document) readPositions(data []byte) {
	w := &positionWalk{doc: d, elements: make(map[Path]int), lines: lineStarts(data)}
	w.parser.Reset(data)
	for w.parser.NextExpression() {
		w.expression(w.parser.Expression())
	}
}

// positionWalk follows the tables of a file in order.
type positionWalk struct {
	doc      *Document
	parser   unstable.Parser
	table    Path
	elements map[Path]int // elements of each list of tables so far
	lines    []int        // offsets at which lines start
}

// lineStarts returns the offset of each line.
func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (w *positionWalk) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		w.table = w.keys("", node)
	case unstable.ArrayTable:
		list := w.keys("", node)
		w.table = list.Index(w.elements[list])
		w.elements[list]++
		w.doc.positions[w.table] = w.doc.positions[list]
	case unstable.KeyValue:
		w.keyValue(w.table, node)
	}
}

func (w *positionWalk) keyValue(table Path, node *unstable.Node) {
	path := w.keys(table, node)
	w.value(path, node.Value())
}

// keys records each key of the node and returns the path of the last one.
func (w *positionWalk) keys(table Path, node *unstable.Node) Path {
	path := table
	it := node.Key()
	for depth := 0; depth < maximumDepth && it.Next(); depth++ {
		path = path.Key(string(it.Node().Data))
		if n := w.elements[path]; n > 0 && !it.IsLast() {
			path = path.Index(n - 1)
		}
		if _, ok := w.doc.positions[path]; !ok || it.IsLast() {
			w.record(path, it.Node())
		}
	}
	return path
}

func (w *positionWalk) value(path Path, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		it := node.Children()
		for it.Next() {
			w.keyValue(path, it.Node())
		}
	case unstable.Array:
		n := 0
		it := node.Children()
		for it.Next() {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			element := path.Index(n)
			w.record(element, it.Node())
			w.value(element, it.Node())
			n++
		}
	}
}

// record takes down the start of a node. Some values have no range of their
// own; they are found by the path around them.
func (w *positionWalk) record(path Path, node *unstable.Node) {
	if node.Raw.Length == 0 {
		return
	}
	offset := int(node.Raw.Offset)
	line := sort.SearchInts(w.lines, offset+1)
	w.doc.positions[path] = Position{Line: line, Column: offset - w.lines[line-1] + 1}
}
