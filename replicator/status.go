package replicator

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// MemberStatus is what a replica knows of one member.
type MemberStatus struct {
	recorder.Member
	// Match and LastHeard are known to the leader only.
	Match     recorder.Index
	LastHeard time.Time
}

// JoinerStatus is a new replica that waits to be admitted.
type JoinerStatus struct {
	Replica   identifier.Replica
	Name      string
	Addr      netip.AddrPort
	LastHeard time.Time
}

// Status is the state of a replica for operators.
type Status struct {
	Replica  identifier.Replica
	Name     string
	Cluster  recorder.Cluster
	Role     Role
	Term     recorder.Term
	Leader   identifier.Replica
	Addr     netip.AddrPort
	Last     recorder.Index
	Stable   recorder.Index
	Commit   recorder.Index
	Snapshot recorder.Index
	Members  []MemberStatus
	// Membership is the entry that brought Members.
	Membership recorder.Index
	Joiners    []JoinerStatus
	Halted     bool
}

// Status returns the state of the replica. Addr is that of the leader.
func (r *Replicator) Status() Status {
	s := Status{
		Replica:    r.cfg.Replica,
		Name:       r.cfg.Name,
		Cluster:    r.cluster,
		Role:       r.role,
		Term:       r.term,
		Leader:     r.leader.replica,
		Addr:       r.leader.addr,
		Last:       r.log.last().Index,
		Stable:     r.disk.stable,
		Commit:     r.commit,
		Snapshot:   r.snapshot.Position.Index,
		Membership: r.membershipAt,
		Halted:     r.halted,
	}
	for _, m := range r.membership.Members {
		member := MemberStatus{Member: m}
		if p := r.progress[m.Replica]; p != nil {
			member.Match, member.LastHeard = p.match, p.heardAt
		}
		s.Members = append(s.Members, member)
	}
	for name, j := range r.joiners {
		_, member := r.membership.Find(j.peer.replica)
		if !member && r.now.Sub(j.at) <= r.cfg.answerLifetime() {
			s.Joiners = append(s.Joiners, JoinerStatus{Replica: j.peer.replica, Name: name, Addr: j.peer.addr, LastHeard: j.at})
		}
	}
	slices.SortFunc(s.Joiners, func(a, b JoinerStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}
