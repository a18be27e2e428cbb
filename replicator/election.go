package replicator

import (
	"time"

	"celeryvalve/recorder"
)

// election is what a replica knows of the leader's life and of its own campaign.
type election struct {
	// heard is when the leader, or the beginning of a campaign, was last seen.
	heard  time.Time
	jitter float64
	// rearm asks for a new jitter at the next tick.
	rearm bool
	// led is set once a leader has been heard since the start.
	led   bool
	votes map[replica]bool
	// ownVote is the sequence after which the candidate's own vote counts.
	ownVote Sequence
	// helloAt is when an empty replica last announced itself.
	helloAt time.Time
}

// hear restarts the election timeout.
func (r *Replicator) hear() {
	r.election.heard = r.now
	r.election.rearm = true
}

// startShare is the part of the election timeout, as a divisor, for which a replica
// that started waits for a leader. One that lives sends a heartbeat meanwhile, and
// where one does live nobody grants the preliminary vote. After a loss of all power
// nobody can declare anything or learn what is wanted until there is a leader.
const startShare = 3

func (r *Replicator) electionDue() bool {
	self, ok := r.membership.Find(r.cfg.Replica)
	if !ok || !self.Voter || r.cluster == "" || r.diskHangs() {
		return false
	}
	spread := time.Duration(float64(r.cfg.ElectionTimeout) * r.election.jitter)
	wait := r.cfg.ElectionTimeout + spread
	if !r.election.led {
		wait /= startShare
	}
	return r.now.Sub(r.election.heard) >= wait
}

// hasLiveLeader reports whether a leader was heard within the election timeout.
// Such a replica helps nobody to depose it.
func (r *Replicator) hasLiveLeader() bool {
	if r.isLeader() {
		return true
	}
	return r.leader.replica != "" && r.now.Sub(r.election.heard) < r.cfg.ElectionTimeout
}

// prepareCampaign asks whether an election could be won, without a new term.
func (r *Replicator) prepareCampaign() {
	r.hear()
	r.role = PreCandidate
	r.leader = peer{}
	r.election.votes = map[replica]bool{r.cfg.Replica: true}
	r.roleChanged()
	if r.electionWon() {
		r.campaign(false)
		return
	}
	r.requestVotes(VoteRequest{Preliminary: true}, 0)
}

// campaign stands for election in a new term.
func (r *Replicator) campaign(transfer bool) {
	r.hear()
	r.role = Candidate
	r.term++
	r.vote = r.cfg.Replica
	r.leader = peer{}
	r.election.votes = make(map[replica]bool)
	r.persistHardState()
	r.election.ownVote = r.disk.issued
	r.roleChanged()
	r.requestVotes(VoteRequest{Transfer: transfer}, r.disk.issued)
}

func (r *Replicator) requestVotes(template VoteRequest, after Sequence) {
	for _, m := range r.membership.Members {
		if !m.Voter || m.Replica == r.cfg.Replica {
			continue
		}
		request := template
		request.Envelope = r.envelopeTo(m.Replica)
		if request.Preliminary {
			request.Term = r.term + 1
		}
		request.Last = r.log.last()
		r.sendAfter(after, Send{To: m.Addr, Message: &request})
	}
}

// countOwnVote counts the candidate's vote for itself once it is synced.
func (r *Replicator) countOwnVote() {
	if r.role != Candidate || r.disk.done < r.election.ownVote {
		return
	}
	r.election.votes[r.cfg.Replica] = true
	if r.electionWon() {
		r.becomeLeader()
	}
}

func (r *Replicator) electionWon() bool {
	n := 0
	for _, m := range r.membership.Members {
		if m.Voter && r.election.votes[m.Replica] {
			n++
		}
	}
	return n >= r.membership.Quorum()
}

func (r *Replicator) handleVoteRequest(m *VoteRequest) {
	from := peer{replica: m.From, addr: m.Addr}
	free := r.vote == m.From || r.vote == "" && r.leader.replica == ""
	if m.Preliminary {
		free = m.Term > r.term || free
	}
	granted := free && upToDate(m.Last, r.log.last())
	response := &VoteResponse{Envelope: r.envelopeTo(m.From), Preliminary: m.Preliminary, Granted: granted}
	if m.Preliminary {
		if granted {
			response.Term = m.Term
		}
		r.sendAfter(r.disk.hardState, Send{To: from.addr, Message: response})
		return
	}
	if granted {
		r.grant(m.From)
	}
	r.sendAfter(r.disk.hardState, Send{To: from.addr, Message: response})
}

func (r *Replicator) grant(candidate replica) {
	if !r.check(r.vote == "" || r.vote == candidate, "second vote in term %d: %s after %s", r.term, candidate, r.vote) {
		return
	}
	r.hear()
	if r.vote == candidate {
		return
	}
	r.vote = candidate
	r.persistHardState()
}

// upToDate reports whether a log that ends at candidate holds all that a
// majority with a log that ends at own can have committed.
func upToDate(candidate, own recorder.Position) bool {
	if candidate.Term != own.Term {
		return candidate.Term > own.Term
	}
	return candidate.Index >= own.Index
}

func (r *Replicator) handleVoteResponse(m *VoteResponse) {
	wanted, term := Candidate, r.term
	if m.Preliminary {
		wanted, term = PreCandidate, r.term+1
	}
	if r.role != wanted || m.Term != term || !m.Granted {
		return
	}
	r.election.votes[m.From] = true
	if !r.electionWon() {
		return
	}
	if m.Preliminary {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}

// follow makes the replica a follower of the leader, or of nobody known, in the term.
func (r *Replicator) follow(term recorder.Term, leader peer) {
	wasLeader := r.isLeader()
	changed := r.role != Follower || r.term != term || r.leader != leader
	if term > r.term {
		r.term = term
		r.vote = ""
		r.persistHardState()
	}
	r.role = Follower
	r.leader = leader
	if wasLeader {
		r.endLeadership()
	}
	if changed {
		r.roleChanged()
	}
}
