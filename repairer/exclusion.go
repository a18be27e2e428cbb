package repairer

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// Exclusion decides when a replica gives up its disk because it is no longer a member. It is
// not safe for concurrent use.
type Exclusion struct {
	timeout time.Duration
	since   time.Time // zero unless the last observation was of an excluded replica
}

// NewExclusion returns the Exclusion of one replica.
func NewExclusion(cfg Config) *Exclusion {
	return &Exclusion{timeout: cfg.ExclusionTimeout}
}

// Observe returns true once the replica with status s has known no leader for
// Config.ExclusionTimeout, and the newest committed membership c has not contained it.
func (e *Exclusion) Observe(now time.Time, s replicator.Status, c CommittedMembership) bool {
	if s.LeaderAddr.IsValid() || !isExcluded(s, c) {
		e.since = time.Time{}
		return false
	}
	if e.since.IsZero() {
		e.since = now
	}
	return now.Sub(e.since) >= e.timeout
}

// CommittedMembership is a membership that a leader has committed. Index is that of its log
// entry.
type CommittedMembership struct {
	Index    recorder.Index
	Replicas []identifier.Replica
}

// isExcluded reports whether the replica with status s has log entries but is not
// in the committed membership c, which is at least as recent as any membership that
// the replica knows. The replica was removed, or its admission was lost with the
// leader that began it. Since a replica with entries does not announce itself, it
// would wait forever; it may discard its disk and start with an empty one. At worst
// the disk is that of a learner that has not received its admission yet. It is not
// that of a voter: the first entries that a newcomer holds are a state of which its
// own membership is a part.
func isExcluded(s replicator.Status, c CommittedMembership) bool {
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
