package replicator

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"celeryvalve/recorder"
)

// bootstrapTerm is the term of the first entry of a cluster.
const bootstrapTerm recorder.Term = 1

// joiner is a replica without entries, and when it last sent a message.
type joiner struct {
	peer    peer
	heardAt time.Time
}

// discover announces this empty replica to the founders and the contacts, at most
// once per heartbeat interval. The first founder by name bootstraps the cluster
// once every other founder has answered that it is empty too. A founder that has
// entries or does not answer prevents this, because the cluster may exist already
// and this replica may have lost its disk.
func (r *Replicator) discover() {
	if r.now.Sub(r.election.lastHelloAt) < r.cfg.HeartbeatInterval {
		return
	}
	r.election.lastHelloAt = r.now
	r.saveFounders()
	for _, f := range r.cfg.Founders {
		if f.Name != r.cfg.Name {
			r.send(f.Addr, &Hello{Envelope: r.envelopeTo(""), Name: r.cfg.Name, Founders: r.cfg.Founders})
		}
	}
	for _, addr := range r.contacts {
		if addr != r.cfg.Addr && !r.isFounder(addr) {
			r.send(addr, &Hello{Envelope: r.envelopeTo(""), Name: r.cfg.Name})
		}
	}
	r.bootstrap()
}

// saveFounders notes the founders on the disk: the settings name them only at the first
// start, and this replica may restart before the cluster exists.
func (r *Replicator) saveFounders() {
	if !r.foundersSaved && len(r.cfg.Founders) > 0 {
		r.foundersSaved = true
		r.persistHardState()
	}
}

// adoptFounders takes over the founders that another one names, if this replica is one of
// them and was killed before it had saved them.
func (r *Replicator) adoptFounders(founders []recorder.Founder) {
	if r.empty() && len(r.cfg.Founders) == 0 && slices.Contains(founders, recorder.Founder{Name: r.cfg.Name, Addr: r.cfg.Addr}) {
		r.cfg.Founders = founders
	}
}

func (r *Replicator) isFounder(addr netip.AddrPort) bool {
	return slices.ContainsFunc(r.cfg.Founders, func(f recorder.Founder) bool { return f.Addr == addr })
}

// bootstrap creates the cluster with all founders as voters, if this replica is the
// first founder by name and all others are known to be empty.
func (r *Replicator) bootstrap() {
	founders := slices.SortedFunc(slices.Values(r.cfg.Founders), func(a, b recorder.Founder) int {
		return strings.Compare(a.Name, b.Name)
	})
	if len(founders) == 0 || founders[0].Name != r.cfg.Name {
		return
	}
	membership := recorder.Membership{}
	for _, f := range founders {
		m := recorder.Member{Replica: r.cfg.Replica, Name: f.Name, Addr: f.Addr, Voter: true}
		if f.Name != r.cfg.Name {
			j, ok := r.emptyFounders[f.Name]
			if !ok || r.now.Sub(j.heardAt) > r.cfg.joinerLifetime() {
				return
			}
			m.Replica = j.peer.replica
		}
		membership.Members = append(membership.Members, m)
	}
	r.cluster = recorder.Cluster(r.cfg.Replica)
	r.term = max(r.term, bootstrapTerm)
	r.vote = ""
	r.persistHardState()
	first := recorder.Entry{Kind: recorder.MembershipChange, Membership: &membership}
	r.appendLocal(first)
	r.reloadMembership()
	r.election.timerStart = time.Time{}
	r.startPreVote()
}

// handleHello records the sender as a joiner and answers with the name and the
// identity of this replica.
func (r *Replicator) handleHello(m *Hello) {
	if m.From == r.cfg.Replica {
		return
	}
	r.adoptFounders(m.Founders)
	_, member := r.membership.Find(m.From)
	if known := r.joiners[m.Name].peer.replica; known != m.From && !member && !r.empty() {
		r.emit(Announced{Replica: m.From, Name: m.Name, Addr: m.Addr})
	}
	r.joiners[m.Name] = joiner{peer: peer{replica: m.From, addr: m.Addr}, heardAt: r.now}
	r.send(m.Addr, &HelloResponse{Envelope: r.envelopeTo(m.From), Name: r.cfg.Name, Empty: r.empty()})
}

// handleHelloResponse records whether the sender is empty. A Hello from a founder
// is no proof that it is empty: it may have been sent before an earlier disk of
// this replica bootstrapped the cluster. An answer addressed to the identity of
// this disk is newer than the disk.
func (r *Replicator) handleHelloResponse(m *HelloResponse) {
	if !m.Empty {
		delete(r.emptyFounders, m.Name)
		return
	}
	r.emptyFounders[m.Name] = joiner{peer: peer{replica: m.From, addr: m.Addr}, heardAt: r.now}
}
