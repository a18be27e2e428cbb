package placer

import (
	"time"

	"go.uber.org/zap"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// membershipLogInterval is how often a membership change that lasts is logged, and the state of a
// replica that has no vote yet.
const membershipLogInterval = time.Second

// membershipLog logs each committed set of replicas, what a membership change waits for, at the leader,
// and how far a replica without a vote has come, at that replica.
type membershipLog struct {
	log *zap.Logger
	// index is that of the last committed set that was logged.
	index recorder.Index
	// step is the last one that was logged.
	step     replicator.ChangeStep
	loggedAt time.Time
	// last and commit are those of this replica when it was logged last.
	last, commit recorder.Index
}

// observe logs the status if the set of replicas has changed, if a change is in progress, or if this
// replica has no vote and its log has grown.
func (l *membershipLog) observe(now time.Time, s replicator.Status) {
	l.observeMembers(s)
	if s.ChangeStep != l.step || s.ChangeStep != replicator.NoChange && now.Sub(l.loggedAt) >= membershipLogInterval {
		l.logChange(now, s)
		return
	}
	grown := s.Last != l.last || s.Commit != l.commit
	if s.Role != replicator.Leader && grown && !isVoter(s) && now.Sub(l.loggedAt) >= membershipLogInterval {
		l.loggedAt, l.last, l.commit = now, s.Last, s.Commit
		l.log.Info("This replica has no vote yet.", zap.Uint64("last", uint64(s.Last)), zap.Uint64("stable", uint64(s.Stable)),
			zap.Uint64("commit", uint64(s.Commit)), zap.Uint64("snapshot", uint64(s.SnapshotIndex)))
	}
}

// observeMembers logs the newest set of replicas once it is committed. A replica with an empty disk knows none.
func (l *membershipLog) observeMembers(s replicator.Status) {
	if len(s.Members) == 0 || s.MembershipIndex == l.index || s.MembershipIndex > s.Commit {
		return
	}
	l.index = s.MembershipIndex
	voters, learners := []string{}, []string{}
	for _, m := range s.Members {
		if m.Voter {
			voters = append(voters, string(m.Replica))
		} else {
			learners = append(learners, string(m.Replica))
		}
	}
	l.log.Info("The set of replicas is committed.", zap.Uint64("index", uint64(s.MembershipIndex)),
		zap.Strings("voters", voters), zap.Strings("learners", learners))
}

func (l *membershipLog) logChange(now time.Time, s replicator.Status) {
	l.step, l.loggedAt = s.ChangeStep, now
	if s.ChangeStep == replicator.NoChange {
		return
	}
	fields := []zap.Field{zap.String("step", string(s.ChangeStep)), zap.Uint64("last", uint64(s.Last)), zap.Uint64("commit", uint64(s.Commit))}
	for _, m := range s.Members {
		if !m.Voter || m.Replaces != "" {
			fields = append(fields, zap.String("learner", m.Name), zap.Uint64("match", uint64(m.Match)),
				zap.Int("entries", m.Backlog.Entries), zap.Int64("entryBytes", int64(m.Backlog.EntryBytes)),
				zap.Int64("snapshotBytes", int64(m.Backlog.SnapshotBytes)), zap.Duration("heard", now.Sub(m.LastHeard)))
			break
		}
	}
	l.log.Info("A change of the set of replicas waits.", fields...)
}

func isVoter(s replicator.Status) bool {
	for _, m := range s.Members {
		if m.Replica == s.Replica {
			return m.Voter
		}
	}
	return false
}
