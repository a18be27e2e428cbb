package repairer

import (
	"cmp"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

const (
	// minimumVoters ensures that an acknowledged change is on at least two disks.
	minimumVoters = 3
	// maximumVoters bounds the cost of a commit, which a majority must sync.
	maximumVoters = 7
)

// Config configures a Repairer.
type Config struct {
	// ToleratedLosses is the number of replicas that may be lost at the same time.
	ToleratedLosses int
	// SilentAfter is how long a voter must be silent before another replica may
	// replace it. It must be longer than a restart takes.
	SilentAfter time.Duration
	// JoinerLifetime is how long an announcement of a new replica remains valid. It
	// is also how long a member must be silent before a new replica of the same
	// name may replace it.
	JoinerLifetime time.Duration
}

// Kind is the kind of an Action.
type Kind string

// The kinds of actions.
const (
	None   Kind = "None"
	Admit  Kind = "Admit"
	Remove Kind = "Remove"
)

// Action is one change of the membership, for the member or new replica called
// Name. Reason is for the log.
type Action struct {
	Kind   Kind
	Name   string
	Reason string
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
	if s.Role != replicator.Leader {
		return Action{Kind: None}
	}
	joiners := r.joiners(now, s)
	for _, j := range joiners {
		if m, ok := findByName(s.Members, j.Name); ok && m.Replica != s.Replica && r.silent(now, s, m, r.cfg.JoinerLifetime) {
			return Action{Kind: Admit, Name: j.Name, Reason: "its disk was lost"}
		}
	}
	voters, responsive, learners := r.countMembers(now, s)
	if learners > 0 {
		return r.removeSilentLearner(now, s)
	}
	if responsive < r.DesiredVoters() && voters <= r.DesiredVoters() {
		for _, j := range joiners {
			if _, ok := findByName(s.Members, j.Name); !ok {
				return Action{Kind: Admit, Name: j.Name, Reason: "too few voters respond"}
			}
		}
	}
	if voters > r.DesiredVoters() {
		return r.removeSilentVoter(now, s)
	}
	return Action{Kind: None}
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

func (r *Repairer) countMembers(now time.Time, s replicator.Status) (voters, responsive, learners int) {
	for _, m := range s.Members {
		if !m.Voter {
			learners++
			continue
		}
		voters++
		if !r.silent(now, s, m, r.cfg.SilentAfter) {
			responsive++
		}
	}
	return voters, responsive, learners
}

// removeSilentLearner cancels the admission of a learner that became silent.
func (r *Repairer) removeSilentLearner(now time.Time, s replicator.Status) Action {
	for _, m := range s.Members {
		if !m.Voter && r.silent(now, s, m, r.cfg.SilentAfter) {
			return Action{Kind: Remove, Name: m.Name, Reason: "the new replica stopped responding"}
		}
	}
	return Action{Kind: None}
}

// removeSilentVoter removes the voter that has been silent the longest.
func (r *Repairer) removeSilentVoter(now time.Time, s replicator.Status) Action {
	var longestSilent *replicator.MemberStatus
	for i, m := range s.Members {
		if m.Voter && r.silent(now, s, m, r.cfg.SilentAfter) && (longestSilent == nil || m.LastHeard.Before(longestSilent.LastHeard)) {
			longestSilent = &s.Members[i]
		}
	}
	if longestSilent == nil {
		return Action{Kind: None}
	}
	return Action{Kind: Remove, Name: longestSilent.Name, Reason: "it stopped responding and has been replaced"}
}

func (r *Repairer) silent(now time.Time, s replicator.Status, m replicator.MemberStatus, timeout time.Duration) bool {
	return m.Replica != s.Replica && now.Sub(m.LastHeard) > timeout
}

// CommittedMembership is a membership that a leader has committed. Index is that of its log
// entry.
type CommittedMembership struct {
	Index    recorder.Index
	Replicas []identifier.Replica
}

// IsExcluded reports whether the replica with status s has log entries but is not
// in the committed membership c, which is at least as recent as any membership that
// the replica knows. The replica was removed, or its admission was lost with the
// leader that began it. Since a replica with entries does not announce itself, it
// would wait forever; it may discard its disk and start with an empty one. At worst
// the disk is that of a learner that has not received its admission yet. It is not
// that of a voter, because a voter knows the entry that made it one.
func IsExcluded(s replicator.Status, c CommittedMembership) bool {
	return s.Last > 0 && c.Index >= s.MembershipIndex && len(c.Replicas) > 0 && !slices.Contains(c.Replicas, s.Replica)
}

// CommittedMembershipOf returns the membership in the status s. It returns false if s is not
// that of a leader, or if the leader has not committed its latest membership yet.
func CommittedMembershipOf(s replicator.Status) (CommittedMembership, bool) {
	if s.Role != replicator.Leader || s.MembershipIndex > s.Commit {
		return CommittedMembership{}, false
	}
	c := CommittedMembership{Index: s.MembershipIndex}
	for _, m := range s.Members {
		c.Replicas = append(c.Replicas, m.Replica)
	}
	return c, true
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
