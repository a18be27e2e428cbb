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
	// LeaseDuration is how long an upstream stays a member without a heartbeat.
	LeaseDuration = 6 * time.Second
	// HeartbeatInterval is the interval at which an agent sends heartbeats.
	HeartbeatInterval = 2 * time.Second
	// MaximumMembers is the maximum number of members.
	MaximumMembers = 4096
	// MaximumDeparted is the maximum number of former members that are stored with
	// their incarnation, so that announcements of an old process are rejected.
	MaximumDeparted = 4096
)

// Member is an upstream that is registered by its agent.
type Member struct {
	Announce
	Token   identifier.FencingToken
	Serving bool
	Leaving bool // accepts no new requests
	Model   identifier.Model
	Version identifier.WeightVersion
	// Adapters are the loaded adapters of the model. The map must not be modified.
	Adapters map[identifier.Adapter]identifier.WeightVersion
	Since    Instant // time of the announcement that made the upstream a member
	Changed  Index   // log index of the last command that changed the member
}

// Departed is an upstream that is no longer a member.
type Departed struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Left        bool // ended by Leave with Gone: the same incarnation can't become a member again
	Changed     Index
}

// MemberDelta contains the changes of the members after an index.
type MemberDelta struct {
	Index   Index // pass it to the next call of MembersSince
	Whole   bool  // Members is the complete list; drop all others
	Members []Member
	Removed []identifier.Upstream
}

type members struct {
	live      map[identifier.Upstream]*Member
	departed  map[identifier.Upstream]Departed
	lastToken identifier.FencingToken
	changed   Index
	floor     Index // departures up to this index may have been pruned
}

func newMembers() members {
	return members{
		live:     make(map[identifier.Upstream]*Member),
		departed: make(map[identifier.Upstream]Departed),
	}
}

// nextToken returns a token higher than every earlier one. Members and claims share
// one sequence of tokens.
func (s *State) nextToken() (identifier.FencingToken, bool) {
	m := &s.core.members
	next := m.lastToken + 1
	if !s.assert.Check(asserter.OneOrderGiver, next > m.lastToken, "fencing tokens are used up") {
		return 0, false
	}
	m.lastToken = next
	return next, true
}

// announce makes an incarnation of an upstream a member. An incarnation that is a
// member already keeps its token.
func (s *State) announce(a *Announce) any {
	m := &s.core.members
	if rejection := m.validateAnnounce(a); rejection != nil {
		return rejection
	}
	answer := &AnnounceAnswer{LeaseDuration: LeaseDuration, HeartbeatInterval: HeartbeatInterval}
	old, isMember := m.live[a.Upstream]
	if isMember && old.Incarnation == a.Incarnation {
		s.updateAnnounce(old, a)
		answer.Token = old.Token
		return answer
	}
	if !isMember && len(m.live) >= MaximumMembers {
		return &Rejected{Kind: explainer.Unavailable, Problem: fmt.Sprintf("there are %d members already", MaximumMembers),
			Remedy: "stop upstreams that aren't needed"}
	}
	token, ok := s.nextToken()
	if !ok {
		return &Rejected{Kind: explainer.Internal, Problem: "no fencing token is left", Remedy: "report this as a bug"}
	}
	if isMember {
		increases := s.assert.Check(asserter.OneOrderGiver, token > old.Token && a.Incarnation > old.Incarnation,
			fmt.Sprintf("token or incarnation of upstream %s does not increase: token %d is followed by %d", a.Upstream, old.Token, token))
		if !increases {
			return &Rejected{Kind: explainer.Fenced, Problem: "a newer agent controls the upstream", Remedy: "stop the older agent"}
		}
		s.core.settleLostClaims(a.Upstream, old.Token)
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

// validateAnnounce rejects an announcement that is incomplete or of an old
// incarnation.
func (m *members) validateAnnounce(a *Announce) *Rejected {
	if a.Upstream == "" || a.Service == "" || a.Incarnation == 0 {
		return &Rejected{Kind: explainer.InvalidInput, Problem: "announcement names no upstream, service or incarnation",
			Remedy: "set Upstream and Service in the agent's settings"}
	}
	newest := m.departed[a.Upstream].Incarnation
	if m.departed[a.Upstream].Left {
		newest++ // an incarnation that left can't become a member again
	}
	if old, ok := m.live[a.Upstream]; ok {
		newest = old.Incarnation
	}
	if a.Incarnation < newest {
		return &Rejected{Kind: explainer.Fenced,
			Problem: fmt.Sprintf("incarnation %d of upstream %s is older than %d", a.Incarnation, a.Upstream, newest),
			Remedy:  "stop the older process, or give each upstream a unique name"}
	}
	return nil
}

// updateAnnounce stores the changed announcement of an incarnation that is a
// member.
func (s *State) updateAnnounce(old *Member, a *Announce) {
	if old.Announce == *a {
		return
	}
	old.Announce = *a
	old.Changed = s.core.index
	s.core.members.changed = s.core.index
}

// current returns the member, or false if the upstream is not a member under the
// incarnation.
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
	c.markChanged(member)
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
	c.markChanged(member)
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

func (c *core) markChanged(member *Member) {
	member.Changed = c.index
	c.members.changed = c.index
}

// remove ends a membership and settles the claims that the member held.
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
	m.pruneDeparted()
	c.settleLostClaims(member.Upstream, member.Token)
}

// settleLostClaims settles as Unknown the claims that an upstream held when it was
// replaced or removed, since their requests may have run.
func (c *core) settleLostClaims(upstream identifier.Upstream, token identifier.FencingToken) {
	c.claims.settleUnknown(c.now, upstream, token)
}

// pruneDeparted drops the oldest departed upstream if there are more than
// MaximumDeparted.
func (m *members) pruneDeparted() {
	if len(m.departed) <= MaximumDeparted {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.departed)), func(a, b Departed) int {
		return cmp.Compare(a.Changed, b.Changed)
	})
	m.floor = oldest.Changed
	delete(m.departed, oldest.Upstream)
}

// since returns the changes after the index. The delta is Whole if the index is 0,
// comes from another state, or precedes departures that were pruned.
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
