package recorder

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// Index is the number of an entry of the log. The first entry has index 1, and
// there are no gaps.
type Index uint64

// Term is the number of a leader's term. A term has at most one leader.
type Term uint64

// Cluster identifies a set of replicas. It is assigned at their first start.
type Cluster string

// EntryKind is the purpose of an entry of the log.
type EntryKind uint8

// The kinds of entries.
const (
	// Command entries carry data for the state machine.
	Command EntryKind = iota
	// Noop entries start the term of a leader.
	Noop
	// MembershipChange entries carry the membership that applies from them on.
	MembershipChange
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	// At is the leader's time of the proposal. It never decreases along the log.
	At time.Time
	// Data is the command of a Command entry.
	Data []byte `cbor:",omitempty"`
	// Membership is set in a MembershipChange entry.
	Membership *Membership `cbor:",omitempty"`
	// Chain is a checksum over this entry and all entries before it. It covers every
	// field except At.
	Chain uint64
}

// ChainAfter returns the Chain of e if the entry before it has the Chain previous.
func (e Entry) ChainAfter(previous uint64) uint64 {
	const headerBytes = 8 + 8 + 8 + 1
	var header [headerBytes]byte
	binary.BigEndian.PutUint64(header[0:], previous)
	binary.BigEndian.PutUint64(header[8:], uint64(e.Index))
	binary.BigEndian.PutUint64(header[16:], uint64(e.Term))
	header[24] = byte(e.Kind)
	h := xxhash.New()
	_, _ = h.Write(header[:])
	_, _ = h.Write(e.Data)
	if e.Membership != nil {
		e.Membership.writeTo(h)
	}
	return h.Sum64()
}

func (m Membership) writeTo(h *xxhash.Digest) {
	const separator = "\x00"
	for _, member := range m.Members {
		_, _ = h.WriteString(string(member.Replica) + separator + member.Name + separator + member.Addr.String() + separator)
		_, _ = h.WriteString(string(member.Replaces) + separator + strconv.FormatBool(member.Voter) + separator)
		if member.Standby {
			_, _ = h.WriteString("standby" + separator)
		}
	}
}

// Member is one replica of the cluster.
type Member struct {
	Replica identifier.Replica
	Name    string
	Addr    netip.AddrPort
	// Voter is false while the replica is a learner, which counts in no quorum.
	Voter bool
	// Replaces is the voter whose place this member takes, or empty.
	Replaces identifier.Replica `cbor:",omitempty"`
	// Standby is set for a learner that stays one until it takes the place of a voter.
	Standby bool `cbor:",omitempty"`
}

// Membership is the set of replicas that applies from one entry of the log on.
type Membership struct {
	Members []Member
}

// Find returns the member with the given identity.
func (m Membership) Find(replica identifier.Replica) (Member, bool) {
	for _, member := range m.Members {
		if member.Replica == replica {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// Clone returns a copy that shares nothing with m.
func (m Membership) Clone() Membership {
	return Membership{Members: append([]Member(nil), m.Members...)}
}

// Founder is one of the replicas that bootstrap the cluster, as the settings name it.
type Founder struct {
	Name string
	Addr netip.AddrPort
}

// HardState is the state of elections that a replica must keep across restarts.
type HardState struct {
	Cluster Cluster
	Term    Term
	// Vote is the replica that received this replica's vote in Term, or empty.
	Vote identifier.Replica
	// Founders are the replicas that bootstrap the cluster, as long as this one has no entry.
	Founders []Founder `cbor:",omitempty"`
}

// Position identifies an entry of the log. The zero value is the position before
// the first entry.
type Position struct {
	Index Index
	Term  Term
	Chain uint64
}

// Position returns the position of the entry.
func (e Entry) Position() Position {
	return Position{Index: e.Index, Term: e.Term, Chain: e.Chain}
}

// Snapshot is the state of the state machine after the entry at Position.
type Snapshot struct {
	Position Position
	// At is the time of the entry at Position.
	At         time.Time
	Membership Membership
	Data       []byte
}
