package repairer

import (
	"cmp"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/replicator"
)

const (
	// minimumVoters ensures that an acknowledged change is on at least two disks.
	minimumVoters = 3
	// maximumVoters bounds the cost of a commit, which a majority must sync.
	maximumVoters = 7
)

// Kind is the kind of an Action.
type Kind string

// The kinds of actions.
const (
	None Kind = "None"
	// Admit adds the new replica called Name in the place of the member of that name.
	Admit Kind = "Admit"
	// AddStandby adds the new replica called Name as a standby.
	AddStandby Kind = "AddStandby"
	// Replace gives the place of Voter, which is called Name, to Standby. Without a
	// Voter the standby, which is called Name, becomes a further voter.
	Replace Kind = "Replace"
	// Remove removes the member called Name.
	Remove Kind = "Remove"
)

// Action is one change of the membership. Reason is for the log.
type Action struct {
	Kind    Kind
	Name    string
	Voter   identifier.Replica
	Standby identifier.Replica
	Reason  string
}

// Repairer decides on membership changes. It keeps no state between decisions.
type Repairer struct {
	cfg Config
}

// New returns a Repairer with the given configuration.
func New(cfg Config) *Repairer {
	return &Repairer{cfg: cfg}
}

// DesiredVoters returns the number of voters that the membership should have.
func (r *Repairer) DesiredVoters() int {
	return min(maximumVoters, max(minimumVoters, 2*r.cfg.ToleratedLosses+1))
}

// Decide returns the next change for the leader's status s. The kind is None if
// nothing is to be changed or s is not that of a leader.
func (r *Repairer) Decide(now time.Time, s replicator.Status) Action {
	if s.Role != replicator.Leader || now.Sub(s.LeaderSince) < r.cfg.AnswerTimeout {
		return Action{Kind: None}
	}
	m := r.classify(now, s)
	joiners := r.joiners(now, s)
	for _, j := range joiners {
		if known, ok := findByName(s.Members, j.Name); ok && r.mayReadmit(now, s, known, m.changing) {
			return r.readmit(j, known)
		}
	}
	if m.changing {
		return r.cancelSilentLearner(now, s)
	}
	if a := r.replaceVoter(m); a.Kind != None {
		return a
	}
	for _, j := range joiners {
		if _, ok := findByName(s.Members, j.Name); !ok && m.standbys < r.DesiredVoters() {
			return Action{Kind: AddStandby, Name: j.Name, Reason: "it is new"}
		}
	}
	if m.silentStandby != nil {
		return Action{Kind: Remove, Name: m.silentStandby.Name, Reason: "the standby stopped responding"}
	}
	return Action{Kind: None}
}

// mayReadmit reports whether a new replica that bears the name of the member may replace it.
// During the admission of another replica it has to wait, since both would get a vote.
func (r *Repairer) mayReadmit(now time.Time, s replicator.Status, known replicator.MemberStatus, changing bool) bool {
	if known.Replica == s.Replica || !r.silent(now, s, known, r.cfg.JoinerLifetime) {
		return false
	}
	return !changing || slices.ContainsFunc(s.Members, func(m replicator.MemberStatus) bool {
		return m.Name == known.Name && isChanging(m) && r.silent(now, s, m, r.cfg.JoinerLifetime)
	})
}

// isChanging reports whether the member is a learner on its way to a vote.
func isChanging(m replicator.MemberStatus) bool {
	return !m.Voter && !m.Standby
}

// readmit returns the action for a new replica that bears the name of a silent member.
func (r *Repairer) readmit(j replicator.JoinerStatus, known replicator.MemberStatus) Action {
	if known.Standby {
		return Action{Kind: AddStandby, Name: j.Name, Reason: "the standby lost its disk"}
	}
	return Action{Kind: Admit, Name: j.Name, Reason: "its disk was lost"}
}

// members are the members by what can be done with them.
type members struct {
	voters   int
	standbys int
	// changing is set while a learner is on its way to a vote.
	changing bool
	// lost is the voter whose place is to be given away, or nil: the one that has been
	// silent for longest, or else one that is leaving.
	lost *replicator.MemberStatus
	// best is the standby that responds and has the longest log, or nil.
	best          *replicator.MemberStatus
	silentStandby *replicator.MemberStatus
}

func (r *Repairer) classify(now time.Time, s replicator.Status) members {
	var c members
	for i := range s.Members {
		m := &s.Members[i]
		switch {
		case m.Voter:
			c.voters++
			if r.isLost(now, s, *m) && (c.lost == nil || m.LastHeard.Before(c.lost.LastHeard)) {
				c.lost = m
			}
		case isChanging(*m):
			c.changing = true
		default:
			c.standbys++
			if r.silent(now, s, *m, r.cfg.SilentAfter) {
				c.silentStandby = m
			}
			if !r.silent(now, s, *m, r.cfg.JoinerLifetime) && (c.best == nil || m.Match > c.best.Match) {
				c.best = m
			}
		}
	}
	return c
}

// isLost reports whether the voter is silent or is about to stop.
func (r *Repairer) isLost(now time.Time, s replicator.Status, m replicator.MemberStatus) bool {
	return r.silent(now, s, m, r.cfg.SilentAfter) || m.Leaving && m.Replica != s.Replica
}

// replaceVoter keeps as many voters that respond as there should be.
func (r *Repairer) replaceVoter(m members) Action {
	switch {
	case m.voters > r.DesiredVoters() && m.lost != nil:
		return Action{Kind: Remove, Name: m.lost.Name, Reason: "there are more voters than needed, and it is not available"}
	case m.voters < r.DesiredVoters() && m.best != nil:
		return Action{Kind: Replace, Name: m.best.Name, Standby: m.best.Replica, Reason: "there are too few voters"}
	case m.voters == r.DesiredVoters() && m.lost != nil && m.best != nil:
		return Action{Kind: Replace, Name: m.lost.Name, Voter: m.lost.Replica, Standby: m.best.Replica, Reason: "it is not available"}
	default:
		return Action{Kind: None}
	}
}

// joiners returns the new replicas that wait to be admitted, sorted by name.
func (r *Repairer) joiners(now time.Time, s replicator.Status) []replicator.JoinerStatus {
	var list []replicator.JoinerStatus
	for _, j := range s.Joiners {
		if now.Sub(j.LastHeard) <= r.cfg.JoinerLifetime && !isMember(s.Members, j.Replica) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b replicator.JoinerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// cancelSilentLearner cancels the admission of a learner that became silent.
func (r *Repairer) cancelSilentLearner(now time.Time, s replicator.Status) Action {
	for _, m := range s.Members {
		if isChanging(m) && r.silent(now, s, m, r.cfg.SilentAfter) {
			return Action{Kind: Remove, Name: m.Name, Reason: "the new replica stopped responding"}
		}
	}
	return Action{Kind: None}
}

func (r *Repairer) silent(now time.Time, s replicator.Status, m replicator.MemberStatus, timeout time.Duration) bool {
	return m.Replica != s.Replica && now.Sub(m.LastHeard) > timeout
}

func findByName(members []replicator.MemberStatus, name string) (replicator.MemberStatus, bool) {
	i := slices.IndexFunc(members, func(m replicator.MemberStatus) bool { return m.Name == name })
	if i < 0 {
		return replicator.MemberStatus{}, false
	}
	return members[i], true
}

func isMember(members []replicator.MemberStatus, id identifier.Replica) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool { return m.Replica == id })
}
