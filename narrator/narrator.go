package narrator

import (
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// contextBefore is for how long before a request the lines about its upstreams
	// belong to its story: longer than a restart or a load takes.
	contextBefore = 5 * time.Second
	// maxContext bounds the lines about upstreams that are kept.
	maxContext = 100_000
)

// Subject is what a story is about. One of the fields is set.
type Subject struct {
	Request  string
	Upstream string
	Version  string
}

// Narrator gathers the lines of one story.
type Narrator struct {
	subject Subject
	lines   []Line
	// context are the lines about upstreams, of which a request may have met some.
	context []Line
}

// New returns a narrator that has read nothing.
func New(s Subject) *Narrator {
	return &Narrator{subject: s}
}

// Read takes in one log. Lines that are no objects of a log are passed over.
func (n *Narrator) Read(name string, r io.Reader) error {
	return readLines(name, r, func(line Line) {
		switch {
		case n.matches(line):
			n.lines = append(n.lines, line)
		case line.field("upstream") != "" && line.field("request") == "" && len(n.context) < maxContext:
			n.context = append(n.context, line)
		}
	})
}

func (n *Narrator) matches(l Line) bool {
	switch {
	case n.subject.Request != "":
		return l.field("request") == n.subject.Request
	case n.subject.Upstream != "":
		return l.field("upstream") == n.subject.Upstream
	default:
		return l.field("version") == n.subject.Version
	}
}

// Story is what was found, in order.
type Story struct {
	Lines []Line
}

// Story returns the lines in the order of their times.
func (n *Narrator) Story() Story {
	lines := slices.Clone(n.lines)
	if n.subject.Request != "" && len(lines) > 0 {
		lines = append(lines, n.aroundRequest()...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return Story{Lines: lines}
}

// aroundRequest returns what was said of the request's upstreams.
func (n *Narrator) aroundRequest() []Line {
	met := make(map[string]bool)
	first, last := n.lines[0].Time, n.lines[0].Time
	for _, l := range n.lines {
		met[l.field("upstream")] = true
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var around []Line
	for _, l := range n.context {
		if met[l.field("upstream")] && !l.Time.Before(first.Add(-contextBefore)) && !l.Time.After(last) {
			around = append(around, l)
		}
	}
	return around
}

// Text renders the story, one line a line.
func (s Story) Text() string {
	var b strings.Builder
	for _, l := range s.Lines {
		b.WriteString(l.String())
		b.WriteByte('\n')
	}
	return b.String()
}
