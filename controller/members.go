package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	// LeaseDuration is how long a member is kept without being heard.
	LeaseDuration = 6 * time.Second
	// HeartbeatInterval is how often a member is to be heard.
	HeartbeatInterval = 2 * time.Second
	// MaximumMembers is how many upstreams may be members.
	MaximumMembers = 4096
	// DepartedKept is how many upstreams that are no longer members are remembered
	// with their incarnation, so that messages of an old process are refused.
	DepartedKept = 4096
)

// Member is an upstream with its agent.
type Member struct {
	Announce
	Token   identifier.FencingToken
	Serving bool
	Leaving bool // takes no new work
	Model   identifier.Model
	Version identifier.WeightVersion
	// Adapters are loaded beside the model. The map must not be written to.
	Adapters map[identifier.Adapter]identifier.WeightVersion
	Since    Instant // of this incarnation's first announcement
	Changed  Index   // of the last command that changed the member
}

// Departed is an upstream that is no longer a member.
type Departed struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Left        bool // said so itself; the incarnation can't come back
	Changed     Index
}

// MemberDelta is what changed among the members after an index.
type MemberDelta struct {
	Index   Index // ask for what changed after it next time
	Whole   bool  // Members are all; others are to be forgotten
	Members []Member
	Removed []identifier.Upstream
}

type members struct {
	live      map[identifier.Upstream]*Member
	departed  map[identifier.Upstream]Departed
	lastToken identifier.FencingToken
	changed   Index
	floor     Index // departures up to here may be forgotten
}

func newMembers() members {
	return members{
		live:     make(map[identifier.Upstream]*Member),
		departed: make(map[identifier.Upstream]Departed),
	}
}

// nextToken returns a token above all that were ever granted, for upstreams and
// claims alike.
func (s *State) nextToken() (identifier.FencingToken, bool) {
	m := &s.core.members
	next := m.lastToken + 1
	if !s.assert.Check(asserter.OneOrderGiver, next > m.lastToken, "fencing tokens are used up") {
		return 0, false
	}
	m.lastToken = next
	return next, true
}

// announce registers an incarnation. The same one again keeps its token.
func (s *State) announce(a *Announce) any {
	m := &s.core.members
	if rejection := m.refuse(a); rejection != nil {
		return rejection
	}
	answer := &AnnounceAnswer{LeaseDuration: LeaseDuration, HeartbeatInterval: HeartbeatInterval}
	old, isMember := m.live[a.Upstream]
	if isMember && old.Incarnation == a.Incarnation {
		s.renew(old, a)
		answer.Token = old.Token
		return answer
	}
	if !isMember && len(m.live) >= MaximumMembers {
		return &Rejected{Kind: explainer.Unavailable, Problem: fmt.Sprintf("there are %d members already", MaximumMembers),
			Remedy: "stop upstreams that aren't needed"}
	}
	token, ok := s.nextToken()
	if !ok {
		return &Rejected{Kind: explainer.Internal, Problem: "no fencing token is left", Remedy: "report this"}
	}
	if isMember {
		newer := s.assert.Check(asserter.OneOrderGiver, token > old.Token && a.Incarnation > old.Incarnation,
			fmt.Sprintf("upstream %s goes back from token %d to %d", a.Upstream, old.Token, token))
		if !newer {
			return &Rejected{Kind: explainer.Fenced, Problem: "a newer giver of orders exists", Remedy: "stop the older process"}
		}
		s.core.loseHolder(a.Upstream, old.Token)
		if !a.ChecksFencing || !old.ChecksFencing {
			answer.OrdersAfter = LeaseDuration
		}
	}
	delete(m.departed, a.Upstream)
	m.live[a.Upstream] = &Member{Announce: *a, Token: token, Since: s.core.now, Changed: s.core.index}
	m.changed = s.core.index
	answer.Token = token
	return answer
}

// refuse rejects an announcement that is malformed or of an old incarnation.
func (m *members) refuse(a *Announce) *Rejected {
	if a.Upstream == "" || a.Service == "" || a.Incarnation == 0 {
		return &Rejected{Kind: explainer.InvalidInput, Problem: "announcement names no upstream, service or incarnation",
			Remedy: "set Upstream and Service in the agent's settings"}
	}
	newest := m.departed[a.Upstream].Incarnation
	if m.departed[a.Upstream].Left {
		newest++ // an incarnation that left can't come back
	}
	if old, ok := m.live[a.Upstream]; ok {
		newest = old.Incarnation
	}
	if a.Incarnation < newest {
		return &Rejected{Kind: explainer.Fenced,
			Problem: fmt.Sprintf("incarnation %d of upstream %s is older than %d", a.Incarnation, a.Upstream, newest),
			Remedy:  "stop the older process, or give each upstream its own name"}
	}
	return nil
}

// renew takes in what the same incarnation says of itself now.
func (s *State) renew(old *Member, a *Announce) {
	if old.Announce == *a {
		return
	}
	old.Announce = *a
	old.Changed = s.core.index
	s.core.members.changed = s.core.index
}

// current returns the member of the incarnation.
func (m *members) current(upstream identifier.Upstream, incarnation identifier.Incarnation) (*Member, bool) {
	member, ok := m.live[upstream]
	if !ok || member.Incarnation != incarnation {
		return nil, false
	}
	return member, true
}

func (c *core) ready(r *Ready) any {
	member, ok := c.members.current(r.Upstream, r.Incarnation)
	if !ok {
		return &MemberAnswer{}
	}
	same := member.Serving == r.Serving && member.Model == r.Model && member.Version == r.Version &&
		maps.Equal(member.Adapters, r.Adapters)
	if same {
		return &MemberAnswer{}
	}
	member.Serving = r.Serving
	member.Model = r.Model
	member.Version = r.Version
	member.Adapters = r.Adapters
	c.touch(member)
	return &MemberAnswer{Changed: true}
}

func (c *core) leave(l *Leave) any {
	member, ok := c.members.current(l.Upstream, l.Incarnation)
	if !ok {
		return &MemberAnswer{}
	}
	if l.Gone {
		c.remove(member, true)
		return &MemberAnswer{Changed: true}
	}
	if member.Leaving {
		return &MemberAnswer{}
	}
	member.Leaving = true
	c.touch(member)
	return &MemberAnswer{Changed: true}
}

func (c *core) expireMember(e *Expire) any {
	member, ok := c.members.live[e.Upstream]
	if !ok || member.Token != e.Token {
		return &MemberAnswer{}
	}
	c.remove(member, false)
	return &MemberAnswer{Changed: true}
}

func (c *core) touch(member *Member) {
	member.Changed = c.index
	c.members.changed = c.index
}

// remove ends a membership and what the member held.
func (c *core) remove(member *Member, left bool) {
	m := &c.members
	delete(m.live, member.Upstream)
	m.departed[member.Upstream] = Departed{
		Upstream:    member.Upstream,
		Incarnation: member.Incarnation,
		Left:        left,
		Changed:     c.index,
	}
	m.changed = c.index
	m.forget()
	c.loseHolder(member.Upstream, member.Token)
}

// loseHolder deals with what a holder had when it was replaced or removed. What it
// ran under a claim may have run: that is Unknown now.
func (c *core) loseHolder(upstream identifier.Upstream, token identifier.FencingToken) {
	c.claims.lose(c.now, upstream, token)
}

// forget drops the oldest departures beyond the bound.
func (m *members) forget() {
	if len(m.departed) <= DepartedKept {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.departed)), func(a, b Departed) int {
		return cmp.Compare(a.Changed, b.Changed)
	})
	m.floor = oldest.Changed
	delete(m.departed, oldest.Upstream)
}

func (m *members) since(index Index) MemberDelta {
	delta := MemberDelta{Index: m.changed, Whole: index == 0 || index < m.floor || index > m.changed}
	for _, name := range slices.Sorted(maps.Keys(m.live)) {
		if member := m.live[name]; delta.Whole || member.Changed > index {
			delta.Members = append(delta.Members, *member)
		}
	}
	if delta.Whole {
		return delta
	}
	for _, name := range slices.Sorted(maps.Keys(m.departed)) {
		if m.departed[name].Changed > index {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}
