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
	// minimumVoters keeps an acknowledged change on two disks at least.
	minimumVoters = 3
	// maximumVoters bounds the cost of a commit.
	maximumVoters = 7
)

// Config says what is wanted.
type Config struct {
	// Tolerated is how many replicas may be lost at once.
	Tolerated int
	// SilentAfter is how long a voter is waited for before another one may take
	// its place. It is longer than a restart takes.
	SilentAfter time.Duration
	// JoinerLifetime is how long an announcement of a new replica counts.
	JoinerLifetime time.Duration
}

// Kind says what is to be done.
type Kind string

// The kinds of actions.
const (
	None   Kind = "None"
	Admit  Kind = "Admit"
	Remove Kind = "Remove"
)

// Action is one change of the membership.
type Action struct {
	Kind   Kind
	Name   string
	Reason string
}

// Repairer decides for one leader.
type Repairer struct {
	cfg Config
}

// New returns a repairer.
func New(cfg Config) *Repairer {
	return &Repairer{cfg: cfg}
}

// Wanted returns how many voters there should be.
func (r *Repairer) Wanted() int {
	return min(maximumVoters, max(minimumVoters, 2*r.cfg.Tolerated+1))
}

// Decide returns the next change, from what the leader knows.
func (r *Repairer) Decide(now time.Time, s replicator.Status) Action {
	if s.Role != replicator.Leader {
		return Action{Kind: None}
	}
	joiners := r.joiners(now, s)
	for _, j := range joiners {
		if m, ok := findName(s.Members, j.Name); ok && m.Replica != s.Replica && r.silent(now, s, m, r.cfg.JoinerLifetime) {
			return Action{Kind: Admit, Name: j.Name, Reason: "its disk was lost"}
		}
	}
	voters, answering, learners := r.count(now, s)
	if learners > 0 {
		return r.giveUpLearner(now, s)
	}
	if answering < r.Wanted() && voters <= r.Wanted() {
		for _, j := range joiners {
			if _, ok := findName(s.Members, j.Name); !ok {
				return Action{Kind: Admit, Name: j.Name, Reason: "too few voters answer"}
			}
		}
	}
	if voters > r.Wanted() {
		return r.takeOut(now, s)
	}
	return Action{Kind: None}
}

// joiners returns the new replicas that wait, by name.
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

func (r *Repairer) count(now time.Time, s replicator.Status) (voters, answering, learners int) {
	for _, m := range s.Members {
		if !m.Voter {
			learners++
			continue
		}
		voters++
		if !r.silent(now, s, m, r.cfg.SilentAfter) {
			answering++
		}
	}
	return voters, answering, learners
}

// giveUpLearner takes back the admission of a learner that fell silent.
func (r *Repairer) giveUpLearner(now time.Time, s replicator.Status) Action {
	for _, m := range s.Members {
		if !m.Voter && r.silent(now, s, m, r.cfg.SilentAfter) {
			return Action{Kind: Remove, Name: m.Name, Reason: "the new replica fell silent"}
		}
	}
	return Action{Kind: None}
}

// takeOut removes the voter that has been silent for longest.
func (r *Repairer) takeOut(now time.Time, s replicator.Status) Action {
	var oldest *replicator.MemberStatus
	for i, m := range s.Members {
		if m.Voter && r.silent(now, s, m, r.cfg.SilentAfter) && (oldest == nil || m.LastHeard.Before(oldest.LastHeard)) {
			oldest = &s.Members[i]
		}
	}
	if oldest == nil {
		return Action{Kind: None}
	}
	return Action{Kind: Remove, Name: oldest.Name, Reason: "it is silent and has been replaced"}
}

func (r *Repairer) silent(now time.Time, s replicator.Status, m replicator.MemberStatus, after time.Duration) bool {
	return m.Replica != s.Replica && now.Sub(m.LastHeard) > after
}

// Committed is a membership that a leader has committed.
type Committed struct {
	Index    recorder.Index
	Replicas []identifier.Replica
}

// IsOutcast reports whether nobody counts on the disk of the replica: a membership
// that was committed, no earlier than any that the replica knows, leaves it out. It
// was removed, or its admission was lost with the leader that began it. A replica
// that has entries announces itself no more, so it would wait for ever; it may begin
// anew with an empty disk. At worst it is a learner whose admission has not reached
// it yet: a voter knows the entry that made it one.
func IsOutcast(s replicator.Status, c Committed) bool {
	return s.Last > 0 && c.Index >= s.Membership && len(c.Replicas) > 0 && !slices.Contains(c.Replicas, s.Replica)
}

// CommittedOf returns the committed membership of a leader, if it has one.
func CommittedOf(s replicator.Status) (Committed, bool) {
	if s.Role != replicator.Leader || s.Membership > s.Commit {
		return Committed{}, false
	}
	c := Committed{Index: s.Membership}
	for _, m := range s.Members {
		c.Replicas = append(c.Replicas, m.Replica)
	}
	return c, true
}

func findName(members []replicator.MemberStatus, name string) (replicator.MemberStatus, bool) {
	i := slices.IndexFunc(members, func(m replicator.MemberStatus) bool { return m.Name == name })
	if i < 0 {
		return replicator.MemberStatus{}, false
	}
	return members[i], true
}

func isMember(members []replicator.MemberStatus, id identifier.Replica) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool { return m.Replica == id })
}
