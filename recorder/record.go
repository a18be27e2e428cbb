package recorder

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// Index numbers the entries of the log, from 1 without gaps.
type Index uint64

// Term numbers the terms of leaders. At most one leader exists in a term.
type Term uint64

// Cluster identifies one set of replicas from its first start on.
type Cluster string

// EntryKind tells what an entry of the log is for.
type EntryKind uint8

// The kinds of entries.
const (
	// Command entries carry data for the state machine.
	Command EntryKind = iota
	// Noop entries open the term of a leader.
	Noop
	// MembershipChange entries carry the membership that holds from them on.
	MembershipChange
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	// At is the leader's time of the proposal. It never falls along the log.
	At time.Time
	// Data is the command of a Command entry.
	Data []byte `cbor:",omitempty"`
	// Membership is set in a MembershipChange entry.
	Membership *Membership `cbor:",omitempty"`
	// Chain is a checksum over this entry and every one before it.
	Chain uint64
}

// ChainAfter returns the Chain of e where it follows an entry of the chain previous.
func (e Entry) ChainAfter(previous uint64) uint64 {
	const fixed = 8 + 8 + 8 + 1
	var head [fixed]byte
	binary.BigEndian.PutUint64(head[0:], previous)
	binary.BigEndian.PutUint64(head[8:], uint64(e.Index))
	binary.BigEndian.PutUint64(head[16:], uint64(e.Term))
	head[24] = byte(e.Kind)
	h := xxhash.New()
	_, _ = h.Write(head[:])
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
	}
}

// Member is one replica of the cluster.
type Member struct {
	Replica identifier.Replica
	Name    string
	Addr    netip.AddrPort
	// Voter is false while the replica is a learner, which counts in no quorum.
	Voter bool
	// Replaces is the member that leaves once this one votes, or empty.
	Replaces identifier.Replica `cbor:",omitempty"`
}

// Membership is the set of replicas from one entry of the log on.
type Membership struct {
	Members []Member
}

// Find returns the member with the identity.
func (m Membership) Find(replica identifier.Replica) (Member, bool) {
	for _, member := range m.Members {
		if member.Replica == replica {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns how many members vote.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns how many voters make a majority.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// Clone returns a copy that shares nothing with m.
func (m Membership) Clone() Membership {
	return Membership{Members: append([]Member(nil), m.Members...)}
}

// HardState is what a replica must remember about elections.
type HardState struct {
	Cluster Cluster
	Term    Term
	Vote    identifier.Replica
}

// Position names an entry of the log, or its beginning by the zero value.
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
