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

// Overview is the state of a deployment at the end of its logs.
type Overview struct {
	// At is the latest time of a log line.
	At time.Time
	// Declared groups the processes by the version of the declaration that they have
	// applied, and Engines groups the upstreams by the release that their engine
	// serves. The number is 0 for none. The highest number comes first.
	Declared []Group
	Engines  []Group
	Leader   Leader
	// Repairs are the changes of the set of replicas, the latest first.
	Repairs []ReplicaChange
	// Evacuated are the availability zones to which entries send no requests, by name.
	Evacuated []EvacuatedZone
	// Behind are the processes that know of a newer declared state than they hold, by name.
	Behind []BehindProcess
	// Aside are the upstreams that entries have ejected and that have not served since.
	Aside []EjectedUpstream
}

// Group holds the sorted names of the processes or upstreams that have the same version
// or release number.
type Group struct {
	Number uint64
	Names  []string
}

// Leader is the control replica that logged the highest term as leader. Instance is
// empty if there is none in the logs.
type Leader struct {
	Instance string
	Term     uint64
	Since    time.Time
}

// ReplicaChange is a change of the set of control replicas by the leader.
type ReplicaChange struct {
	At time.Time
	// Instance is the leader that made the change.
	Instance string
	Kind     string
	// Name is the replica that the change is about.
	Name   string
	Reason string
	// Ended is true once the change has completed or failed.
	Ended bool
}

// EvacuatedZone is an availability zone to which the entries send no requests.
type EvacuatedZone struct {
	AvailabilityZone string
	Entries          []string
}

// BehindProcess is a process that has heard of revision Announced of the declared state and
// holds revision Held.
type BehindProcess struct {
	Instance        string
	Held, Announced uint64
	Since           time.Time
}

// EjectedUpstream is an upstream that an entry has ejected after failures. The entry sends it
// no requests before Until.
type EjectedUpstream struct {
	Upstream string
	Entry    string
	Until    time.Time
	Cause    string
	// Failures is the number of consecutive failures.
	Failures uint64
}

// Summariser builds an Overview from logs.
type Summariser struct {
	at       time.Time // latest time of a line read
	lines    []Line    // lines whose message has a handler
	handlers map[string]func(*state, Line)
}

// state is the state of the deployment after the log lines handled so far.
type state struct {
	// declared holds the applied version of the declaration by process.
	declared map[string]uint64
	// engines are keyed by the instance of their agent, which has one engine at a time.
	engines map[string]engine
	leader  Leader
	repairs []ReplicaChange
	ejected map[[2]string]EjectedUpstream
	// evacuated holds the evacuated zones by entry.
	evacuated map[string][]string
	// behind holds the processes that are behind, by instance.
	behind map[string]BehindProcess
}

// engine is the upstream and the release that an agent logged for its engine.
type engine struct {
	upstream string
	release  uint64
}

// NewSummariser returns an overseer with an empty overview. Read adds logs to it.
func NewSummariser() *Summariser {
	return &Summariser{handlers: map[string]func(*state, Line){
		"Started.":                               (*state).processStarted,
		"Declaration is in force.":               (*state).declarationApplied,
		"Engine serves.":                         (*state).engineServes,
		"Upstream left.":                         (*state).upstreamLeft,
		"Role changed.":                          (*state).roleChanged,
		"Changing the set of replicas.":          (*state).replicaChangeStarted,
		"Change of the set of replicas ended.":   (*state).replicaChangeEnded,
		"Evacuated zones changed.":               (*state).zonesEvacuated,
		"Set an upstream aside.":                 (*state).upstreamEjected,
		"Upstream serves again.":                 (*state).upstreamRecovered,
		"Behind the declared state.":             (*state).fellBehind,
		"Caught up with the declared state.":     (*state).caughtUp,
		"Gave up a state that no process holds.": (*state).caughtUp,
	}}
}

// Read reads one log, as Narrator.Read does. Logs may be read in any order.
func (o *Summariser) Read(name string, r io.Reader) error {
	return readLines(name, r, func(l Line) {
		if l.Time.After(o.at) {
			o.at = l.Time
		}
		if o.handlers[l.Message] != nil {
			o.lines = append(o.lines, l)
		}
	})
}

// Overview returns the overview of the logs read so far.
func (o *Summariser) Overview() Overview {
	s := &state{
		declared:  make(map[string]uint64),
		engines:   make(map[string]engine),
		ejected:   make(map[[2]string]EjectedUpstream),
		evacuated: make(map[string][]string),
		behind:    make(map[string]BehindProcess),
	}
	slices.SortStableFunc(o.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range o.lines {
		o.handlers[l.Message](s, l)
	}
	slices.Reverse(s.repairs)
	return Overview{
		At:        o.at,
		Declared:  groupByNumber(s.declared),
		Engines:   groupByNumber(s.releases()),
		Leader:    s.leader,
		Repairs:   s.repairs,
		Evacuated: s.evacuatedZones(),
		Behind:    slices.SortedFunc(maps.Values(s.behind), func(a, b BehindProcess) int { return cmp.Compare(a.Instance, b.Instance) }),
		Aside:     s.ejectedAt(o.at),
	}
}

func (s *state) processStarted(l Line) {
	s.declared[l.Instance] = 0
	delete(s.evacuated, l.Instance)
	delete(s.behind, l.Instance)
	maps.DeleteFunc(s.ejected, func(key [2]string, _ EjectedUpstream) bool { return key[0] == l.Instance })
}

func (s *state) declarationApplied(l Line) { s.declared[l.Instance] = l.number("version") }

func (s *state) zonesEvacuated(l Line) {
	var zones []string
	list, _ := l.Fields["zones"].([]any)
	for _, z := range list {
		zones = append(zones, fmt.Sprint(z))
	}
	s.evacuated[l.Instance] = zones
}

// evacuatedZones returns the evacuated zones by name, each with its sorted entries.
func (s *state) evacuatedZones() []EvacuatedZone {
	entries := make(map[string][]string)
	for _, entry := range slices.Sorted(maps.Keys(s.evacuated)) {
		for _, zone := range s.evacuated[entry] {
			entries[zone] = append(entries[zone], entry)
		}
	}
	var list []EvacuatedZone
	for _, zone := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, EvacuatedZone{AvailabilityZone: zone, Entries: entries[zone]})
	}
	return list
}

func (s *state) engineServes(l Line) {
	s.engines[l.Instance] = engine{upstream: l.field("upstream"), release: l.number("release")}
}

func (s *state) upstreamLeft(l Line) {
	maps.DeleteFunc(s.engines, func(_ string, e engine) bool { return e.upstream == l.field("upstream") })
}

// releases returns the release of each engine by the name of its upstream.
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

func (s *state) replicaChangeStarted(l Line) {
	s.repairs = append(s.repairs, ReplicaChange{
		At: l.Time, Instance: l.Instance, Kind: l.field("kind"), Name: l.field("name"), Reason: l.field("reason"),
	})
}

func (s *state) replicaChangeEnded(l Line) {
	for i := range s.repairs {
		if r := &s.repairs[i]; r.Instance == l.Instance && r.Name == l.field("name") {
			r.Ended = true
		}
	}
}

func (s *state) fellBehind(l Line) {
	since, err := time.Parse(time.RFC3339Nano, l.field("since"))
	if err != nil {
		since = l.Time
	}
	s.behind[l.Instance] = BehindProcess{Instance: l.Instance, Held: l.number("held"), Announced: l.number("announced"), Since: since}
}

func (s *state) caughtUp(l Line) { delete(s.behind, l.Instance) }

func (s *state) upstreamEjected(l Line) {
	until, err := time.Parse(time.RFC3339Nano, l.field("until"))
	if err != nil {
		return // written by another release, which logs no time
	}
	s.ejected[[2]string{l.Instance, l.field("upstream")}] = EjectedUpstream{
		Upstream: l.field("upstream"), Entry: l.Instance, Until: until, Cause: l.field("cause"), Failures: l.number("failures"),
	}
}

func (s *state) upstreamRecovered(l Line) {
	delete(s.ejected, [2]string{l.Instance, l.field("upstream")})
}

// ejectedAt returns the upstreams that are ejected at the given time, sorted by upstream
// and entry. One whose ejection has ended and that has not served since is included
// for ejectionRetention.
func (s *state) ejectedAt(at time.Time) []EjectedUpstream {
	list := slices.Collect(maps.Values(s.ejected))
	list = slices.DeleteFunc(list, func(a EjectedUpstream) bool { return at.Sub(a.Until) > ejectionRetention })
	slices.SortFunc(list, func(a, b EjectedUpstream) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Entry, b.Entry))
	})
	return list
}

// ejectionRetention is how long an upstream counts as ejected after its ejection has
// ended. One that is not tried again within this time has left.
const ejectionRetention = 10 * time.Second

// groupByNumber groups names by their number, the highest number first.
func groupByNumber(numbers map[string]uint64) []Group {
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

// number returns a field as a count, or 0 if the field is missing or not a positive
// number.
func (l Line) number(name string) uint64 {
	if v, ok := l.Fields[name].(float64); ok && v > 0 {
		return uint64(v)
	}
	return 0
}

// maxNamesShown is the maximum number of names that are listed in a line of text.
const maxNamesShown = 6

// Text formats the overview for display.
func (o Overview) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "At %s\n", formatTime(o.At))
	if o.Leader.Instance == "" {
		b.WriteString("Leader: none in these logs\n")
	} else {
		fmt.Fprintf(&b, "Leader: %s since %s, term %d\n", o.Leader.Instance, formatTime(o.Leader.Since), o.Leader.Term)
	}
	writeGroups(&b, "Declaration", o.Declared)
	writeGroups(&b, "Release", o.Engines)
	for _, r := range o.Repairs {
		state := "under way"
		if r.Ended {
			state = "ended"
		}
		fmt.Fprintf(&b, "Repair: %s %s by %s at %s, %s: %s\n", r.Kind, r.Name, r.Instance, formatTime(r.At), state, r.Reason)
	}
	for _, z := range o.Evacuated {
		fmt.Fprintf(&b, "Evacuated %s: %d, %s\n", z.AvailabilityZone, len(z.Entries), shorten(z.Entries))
	}
	for _, p := range o.Behind {
		fmt.Fprintf(&b, "Behind: %s holds revision %d of %d since %s\n", p.Instance, p.Held, p.Announced, formatTime(p.Since))
	}
	for _, a := range o.Aside {
		fmt.Fprintf(&b, "Aside: %s at %s until %s, %s, %d failures in a row\n", a.Upstream, a.Entry, formatTime(a.Until), a.Cause, a.Failures)
	}
	return b.String()
}

func formatTime(t time.Time) string {
	return t.UTC().Format("15:04:05.000")
}

func writeGroups(b *strings.Builder, label string, list []Group) {
	for _, g := range list {
		number := strconv.FormatUint(g.Number, 10)
		if g.Number == 0 {
			number = "none"
		}
		fmt.Fprintf(b, "%s %s: %d, %s\n", label, number, len(g.Names), shorten(g.Names))
	}
}

// shorten lists the first maxNamesShown names and says how many more there are.
func shorten(names []string) string {
	shown := strings.Join(names[:min(maxNamesShown, len(names))], " ")
	if rest := len(names) - maxNamesShown; rest > 0 {
		return fmt.Sprintf("%s and %d more", shown, rest)
	}
	return shown
}
