package replicator

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"celeryvalve/recorder"
)

// firstTerm is the term of the entry that founds a cluster.
const firstTerm recorder.Term = 1

// joiner is a replica without entries that has announced itself.
type joiner struct {
	peer peer
	at   time.Time
}

// discover announces the empty replica to the founders. The first of them by
// name founds the cluster once every founder has told that it is empty too. A
// founder with entries, or one that does not answer, prevents it: the cluster
// may exist, and this replica may have lost its disk.
func (r *Replicator) discover() {
	if r.now.Sub(r.election.helloAt) < r.cfg.HeartbeatInterval {
		return
	}
	r.election.helloAt = r.now
	for _, f := range r.cfg.Founders {
		if f.Name != r.cfg.Name {
			r.send(f.Addr, &Hello{Envelope: r.envelopeTo(""), Name: r.cfg.Name})
		}
	}
	for _, addr := range r.contacts {
		if addr != r.cfg.Addr && !r.isFounder(addr) {
			r.send(addr, &Hello{Envelope: r.envelopeTo(""), Name: r.cfg.Name})
		}
	}
	r.found()
}

func (r *Replicator) isFounder(addr netip.AddrPort) bool {
	return slices.ContainsFunc(r.cfg.Founders, func(f Founder) bool { return f.Addr == addr })
}

func (r *Replicator) found() {
	founders := slices.SortedFunc(slices.Values(r.cfg.Founders), func(a, b Founder) int {
		return strings.Compare(a.Name, b.Name)
	})
	if len(founders) == 0 || founders[0].Name != r.cfg.Name {
		return
	}
	membership := recorder.Membership{}
	for _, f := range founders {
		m := recorder.Member{Replica: r.cfg.Replica, Name: f.Name, Addr: f.Addr, Voter: true}
		if f.Name != r.cfg.Name {
			j, ok := r.vacant[f.Name]
			if !ok || r.now.Sub(j.at) > r.cfg.answerLifetime() {
				return
			}
			m.Replica = j.peer.replica
		}
		membership.Members = append(membership.Members, m)
	}
	r.cluster = recorder.Cluster(r.cfg.Replica)
	r.term = max(r.term, firstTerm)
	r.vote = ""
	r.persistHardState()
	first := recorder.Entry{Kind: recorder.MembershipChange, Membership: &membership}
	r.appendOwn(first)
	r.findMembership()
	r.election.heard = time.Time{}
	r.prepareCampaign()
}

// handleHello notes a new replica, and tells it who answers here.
func (r *Replicator) handleHello(m *Hello) {
	if m.From == r.cfg.Replica {
		return
	}
	_, member := r.membership.Find(m.From)
	if known := r.joiners[m.Name].peer.replica; known != m.From && !member && !r.empty() {
		r.emit(Announced{Replica: m.From, Name: m.Name, Addr: m.Addr})
	}
	r.joiners[m.Name] = joiner{peer: peer{replica: m.From, addr: m.Addr}, at: r.now}
	r.send(m.Addr, &HelloResponse{Envelope: r.envelopeTo(m.From), Name: r.cfg.Name, Empty: r.empty()})
}

// handleHelloResponse notes whether a founder is empty. Only an answer to this
// disk counts: a Hello may have been on its way since before an earlier disk of
// this replica founded the cluster.
func (r *Replicator) handleHelloResponse(m *HelloResponse) {
	if !m.Empty {
		delete(r.vacant, m.Name)
		return
	}
	r.vacant[m.Name] = joiner{peer: peer{replica: m.From, addr: m.Addr}, at: r.now}
}
