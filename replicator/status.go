package replicator

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// MemberStatus is a replica's view of one member.
type MemberStatus struct {
	recorder.Member
	// LastHeard is when the member last sent a message, to this replica or, as far as
	// known, to a leader. It is zero if that is not known.
	LastHeard time.Time
	// Match is the last index that the member is known to have synced. Leaving is set if
	// it has said that it is about to stop. Only the leader knows them.
	Match   recorder.Index
	Leaving bool
	// Backlog is what the member has not acknowledged yet. Only the leader knows it.
	Backlog Backlog
}

// JoinerStatus is a new replica that waits to be admitted.
type JoinerStatus struct {
	Replica   identifier.Replica
	Name      string
	Addr      netip.AddrPort
	LastHeard time.Time
}

// Status is the state of a replica, for operators and for its caller.
type Status struct {
	Replica identifier.Replica
	Name    string
	Cluster recorder.Cluster
	Role    Role
	Term    recorder.Term
	// Leader and LeaderAddr are the identity and the address of the leader, if known.
	Leader     identifier.Replica
	LeaderAddr netip.AddrPort
	// LeaderSince is when this replica became the leader, if it leads.
	LeaderSince time.Time
	// Last is the index of the last entry, Stable the last index that is synced,
	// Commit the last one that is committed and SnapshotIndex that of the last snapshot.
	Last          recorder.Index
	Stable        recorder.Index
	Commit        recorder.Index
	SnapshotIndex recorder.Index
	Members       []MemberStatus
	// MembershipIndex is the index of the entry or snapshot that Members is taken from.
	MembershipIndex recorder.Index
	Joiners         []JoinerStatus
	// ChangeStep is what the membership change in progress waits for. Only the leader knows it.
	ChangeStep ChangeStep
	Halted     bool
}

// Status returns the state of the replica.
func (r *Replicator) Status() Status {
	s := Status{
		Replica:         r.cfg.Replica,
		Name:            r.cfg.Name,
		Cluster:         r.cluster,
		Role:            r.role,
		Term:            r.term,
		Leader:          r.leader.replica,
		LeaderSince:     r.leaderSince,
		LeaderAddr:      r.leader.addr,
		Last:            r.log.last().Index,
		Stable:          r.disk.stable,
		Commit:          r.commit,
		SnapshotIndex:   r.snapshot.Position.Index,
		MembershipIndex: r.membershipIndex,
		ChangeStep:      r.changeStep(),
		Halted:          r.halted,
	}
	for _, m := range r.membership.Members {
		member := MemberStatus{Member: m, LastHeard: r.lastHeard[m.Replica]}
		if p := r.progress[m.Replica]; p != nil {
			member.Match, member.LastHeard, member.Leaving = p.match, r.heardSince(m.Replica), p.leaving
			member.Backlog = r.backlog(p)
		}
		s.Members = append(s.Members, member)
	}
	for name, j := range r.joiners {
		_, member := r.membership.Find(j.peer.replica)
		if !member && r.now.Sub(j.heardAt) <= r.cfg.joinerLifetime() {
			s.Joiners = append(s.Joiners, JoinerStatus{Replica: j.peer.replica, Name: name, Addr: j.peer.addr, LastHeard: j.heardAt})
		}
	}
	slices.SortFunc(s.Joiners, func(a, b JoinerStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}
