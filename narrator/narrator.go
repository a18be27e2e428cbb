package narrator

import (
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// contextWindow is how long before the first line of a request the lines about
	// its upstreams are part of its story. It is longer than a restart or a load of
	// weights takes.
	contextWindow = 5 * time.Second
	// maxContextLines is the maximum number of lines about upstreams that are kept.
	maxContextLines = 100_000
)

// Subject is the request, the upstream or the version of a declaration that a story is
// about. Exactly one of the fields is set.
type Subject struct {
	Request  string
	Upstream string
	Version  string
}

// Narrator collects the lines of one story.
type Narrator struct {
	subject Subject
	lines   []Line
	// context are the lines about any upstream that name no request. Story
	// selects those about the upstreams that the subject's request was sent to.
	context []Line
}

// New returns a narrator for the story of the subject. Read adds logs to it.
func New(s Subject) *Narrator {
	return &Narrator{subject: s}
}

// Read reads one log; name is used in errors. Lines that are not log objects are
// ignored.
func (n *Narrator) Read(name string, r io.Reader) error {
	return readLines(name, r, func(line Line) {
		switch {
		case n.matches(line):
			n.lines = append(n.lines, line)
		case line.field("upstream") != "" && line.field("request") == "" && len(n.context) < maxContextLines:
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

// Story holds the lines about a subject, sorted by time.
type Story struct {
	Lines []Line
}

// Story returns the lines found so far, sorted by time.
func (n *Narrator) Story() Story {
	lines := slices.Clone(n.lines)
	if n.subject.Request != "" && len(lines) > 0 {
		lines = append(lines, n.upstreamContext()...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return Story{Lines: lines}
}

// upstreamContext returns the lines about the upstreams of the request, from
// contextWindow before the request's first line to its last line.
func (n *Narrator) upstreamContext() []Line {
	upstreams := make(map[string]bool)
	first, last := n.lines[0].Time, n.lines[0].Time
	for _, l := range n.lines {
		upstreams[l.field("upstream")] = true
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var related []Line
	for _, l := range n.context {
		if upstreams[l.field("upstream")] && !l.Time.Before(first.Add(-contextWindow)) && !l.Time.After(last) {
			related = append(related, l)
		}
	}
	return related
}

// Text formats the story with one log line per line of text.
func (s Story) Text() string {
	var b strings.Builder
	for _, l := range s.Lines {
		b.WriteString(l.String())
		b.WriteByte('\n')
	}
	return b.String()
}
