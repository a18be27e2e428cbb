package placer

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"celeryvalve/replicator"
)

const (
	// leaderlessLogAfter is longer than elections take.
	leaderlessLogAfter = 3 * time.Second
	// leaderlessLogInterval is how often a lasting lack of a leader is logged.
	leaderlessLogInterval = 5 * time.Second
)

// leaderlessLog logs what a replica knows of the others while it knows no leader, from which
// can be told whether they are lost, empty or not reached.
type leaderlessLog struct {
	log      *zap.Logger
	since    time.Time
	loggedAt time.Time
}

// observe logs the status if it has been without a leader for leaderlessLogAfter.
func (l *leaderlessLog) observe(now time.Time, s replicator.Status) {
	if s.LeaderAddr.IsValid() {
		l.since = time.Time{}
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < leaderlessLogAfter || now.Sub(l.loggedAt) < leaderlessLogInterval {
		return
	}
	l.loggedAt = now
	l.log.Warn("No leader is known.", zap.Duration("for", now.Sub(l.since)), zap.String("role", string(s.Role)), zap.Uint64("term", uint64(s.Term)),
		zap.Uint64("last", uint64(s.Last)), zap.Uint64("commit", uint64(s.Commit)), zap.Strings("members", describeMembers(now, s)),
		zap.Strings("waiting", describeJoiners(s)))
}

func describeMembers(now time.Time, s replicator.Status) []string {
	list := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		kind := "voter"
		if !m.Voter {
			kind = "learner"
		}
		heard := "never heard"
		switch {
		case m.Replica == s.Replica:
			heard = "this replica"
		case !m.LastHeard.IsZero():
			heard = fmt.Sprintf("heard %d ms ago", now.Sub(m.LastHeard).Milliseconds())
		}
		list = append(list, fmt.Sprintf("%s %s, %s", kind, m.Name, heard))
	}
	return list
}

func describeJoiners(s replicator.Status) []string {
	list := make([]string, 0, len(s.Joiners))
	for _, j := range s.Joiners {
		list = append(list, j.Name)
	}
	return list
}
