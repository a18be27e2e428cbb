package narrator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Overview is what a deployment believed at the end of its logs.
type Overview struct {
	// At is the time of the last line.
	At time.Time
	// Declared are the processes by the version of the declaration that they have put
	// in force, and Engines the engines by the release that they serve, 0 for none.
	Declared []Group
	Engines  []Group
	Leader   Leader
	// Repairs are changes of the set of replicas, the last one first.
	Repairs []Repair
	// Aside are the upstreams that entries leave alone at the end.
	Aside []AsideUpstream
}

// Group are those that have the same number.
type Group struct {
	Number uint64
	Names  []string
}

// Leader is the control replica that leads, as it said itself.
type Leader struct {
	Instance string
	Term     uint64
	Since    time.Time
}

// Repair is a change of the set of replicas by the leader.
type Repair struct {
	At       time.Time
	Instance string
	Kind     string
	Name     string
	Reason   string
	// Ended says that the change is over.
	Ended bool
}

// AsideUpstream is an upstream that an entry has set aside.
type AsideUpstream struct {
	Upstream string
	Entry    string
	Until    time.Time
	Cause    string
	Failures uint64
}

// Overseer gathers an Overview.
type Overseer struct {
	at       time.Time
	lines    []Line
	messages map[string]func(*state, Line)
}

// state is what the lines so far say.
type state struct {
	declared map[string]uint64
	// engines are by the instance of their agent, which has one at a time.
	engines map[string]engine
	leader  Leader
	repairs []Repair
	aside   map[[2]string]AsideUpstream
}

// engine is what an agent says of the engine beside it.
type engine struct {
	upstream string
	release  uint64
}

// NewOverseer returns an overseer that has read nothing.
func NewOverseer() *Overseer {
	return &Overseer{messages: map[string]func(*state, Line){
		"Started.":                             (*state).started,
		"Declaration is in force.":             (*state).inForce,
		"Engine serves.":                       (*state).serves,
		"Upstream left.":                       (*state).left,
		"Role changed.":                        (*state).roleChanged,
		"Changing the set of replicas.":        (*state).changing,
		"Change of the set of replicas ended.": (*state).changed,
		"Set an upstream aside.":               (*state).setAside,
		"Upstream serves again.":               (*state).servesAgain,
	}}
}

// Read takes in one log, as Narrator.Read does.
func (o *Overseer) Read(name string, r io.Reader) error {
	return readLines(name, r, func(l Line) {
		if l.Time.After(o.at) {
			o.at = l.Time
		}
		if o.messages[l.Message] != nil {
			o.lines = append(o.lines, l)
		}
	})
}

// Overview returns what the lines say in the order of their times.
func (o *Overseer) Overview() Overview {
	s := &state{
		declared: make(map[string]uint64),
		engines:  make(map[string]engine),
		aside:    make(map[[2]string]AsideUpstream),
	}
	slices.SortStableFunc(o.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range o.lines {
		o.messages[l.Message](s, l)
	}
	slices.Reverse(s.repairs)
	return Overview{
		At:       o.at,
		Declared: groups(s.declared),
		Engines:  groups(s.releases()),
		Leader:   s.leader,
		Repairs:  s.repairs,
		Aside:    s.asideAt(o.at),
	}
}

func (s *state) started(l Line) {
	s.declared[l.Instance] = 0
	maps.DeleteFunc(s.aside, func(key [2]string, _ AsideUpstream) bool { return key[0] == l.Instance })
}

func (s *state) inForce(l Line) { s.declared[l.Instance] = l.number("version") }

func (s *state) serves(l Line) {
	s.engines[l.Instance] = engine{upstream: l.field("upstream"), release: l.number("release")}
}

func (s *state) left(l Line) {
	maps.DeleteFunc(s.engines, func(_ string, e engine) bool { return e.upstream == l.field("upstream") })
}

// releases are those of the engines by name.
func (s *state) releases() map[string]uint64 {
	releases := make(map[string]uint64)
	for _, e := range s.engines {
		releases[e.upstream] = e.release
	}
	return releases
}

func (s *state) roleChanged(l Line) {
	term := l.number("Term")
	if l.field("Role") == "Leader" && term >= s.leader.Term {
		s.leader = Leader{Instance: l.Instance, Term: term, Since: l.Time}
	}
}

func (s *state) changing(l Line) {
	s.repairs = append(s.repairs, Repair{
		At: l.Time, Instance: l.Instance, Kind: l.field("kind"), Name: l.field("name"), Reason: l.field("reason"),
	})
}

func (s *state) changed(l Line) {
	for i := range s.repairs {
		if r := &s.repairs[i]; r.Instance == l.Instance && r.Name == l.field("name") {
			r.Ended = true
		}
	}
}

func (s *state) setAside(l Line) {
	until, err := time.Parse(time.RFC3339Nano, l.field("until"))
	if err != nil {
		return // a line of another release, which says no time
	}
	s.aside[[2]string{l.Instance, l.field("upstream")}] = AsideUpstream{
		Upstream: l.field("upstream"), Entry: l.Instance, Until: until, Cause: l.field("cause"), Failures: l.number("failures"),
	}
}

func (s *state) servesAgain(l Line) {
	delete(s.aside, [2]string{l.Instance, l.field("upstream")})
}

// asideAt returns the upstreams whose time has not come by then, or that have not
// served since.
func (s *state) asideAt(at time.Time) []AsideUpstream {
	list := slices.Collect(maps.Values(s.aside))
	list = slices.DeleteFunc(list, func(a AsideUpstream) bool { return at.Sub(a.Until) > forgottenAfter })
	slices.SortFunc(list, func(a, b AsideUpstream) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Entry, b.Entry))
	})
	return list
}

// forgottenAfter is for how long an upstream counts as set aside after its time came:
// one that is not tried again has left.
const forgottenAfter = 10 * time.Second

func groups(numbers map[string]uint64) []Group {
	names := make(map[uint64][]string)
	for name, n := range numbers {
		names[n] = append(names[n], name)
	}
	var list []Group
	for _, n := range slices.Sorted(maps.Keys(names)) {
		slices.Sort(names[n])
		list = append(list, Group{Number: n, Names: names[n]})
	}
	slices.Reverse(list)
	return list
}

// number returns a field as a count, or 0 where it is none.
func (l Line) number(name string) uint64 {
	if v, ok := l.Fields[name].(float64); ok && v > 0 {
		return uint64(v)
	}
	return 0
}

// namesShown bounds the names in a line of text.
const namesShown = 6

// Text renders the overview for people.
func (o Overview) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "At %s\n", clockOf(o.At))
	if o.Leader.Instance == "" {
		b.WriteString("Leader: none in these logs\n")
	} else {
		fmt.Fprintf(&b, "Leader: %s since %s, term %d\n", o.Leader.Instance, clockOf(o.Leader.Since), o.Leader.Term)
	}
	writeGroups(&b, "Declaration", o.Declared)
	writeGroups(&b, "Release", o.Engines)
	for _, r := range o.Repairs {
		state := "under way"
		if r.Ended {
			state = "ended"
		}
		fmt.Fprintf(&b, "Repair: %s %s by %s at %s, %s: %s\n", r.Kind, r.Name, r.Instance, clockOf(r.At), state, r.Reason)
	}
	for _, a := range o.Aside {
		fmt.Fprintf(&b, "Aside: %s at %s until %s, %s, %d failures in a row\n", a.Upstream, a.Entry, clockOf(a.Until), a.Cause, a.Failures)
	}
	return b.String()
}

func clockOf(t time.Time) string {
	return t.UTC().Format("15:04:05.000")
}

func writeGroups(b *strings.Builder, what string, list []Group) {
	for _, g := range list {
		number := strconv.FormatUint(g.Number, 10)
		if g.Number == 0 {
			number = "none"
		}
		names := g.Names[:min(namesShown, len(g.Names))]
		more := ""
		if rest := len(g.Names) - len(names); rest > 0 {
			more = fmt.Sprintf(" and %d more", rest)
		}
		fmt.Fprintf(b, "%s %s: %d, %s%s\n", what, number, len(g.Names), strings.Join(names, " "), more)
	}
}
