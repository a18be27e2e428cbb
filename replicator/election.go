package replicator

import (
	"time"

	"celeryvalve/recorder"
)

// election holds the election timer and the state of the replica's own campaign.
type election struct {
	// timerStart is when the election timer was last restarted: by a message from
	// the leader, a granted vote, a campaign or the end of its own leadership.
	timerStart time.Time
	jitter     float64
	// needsJitter is set until the next tick supplies a new jitter.
	needsJitter bool
	// sawLeader is set once this replica has led or received a message from a
	// leader since its start.
	sawLeader bool
	votes     map[replica]bool
	// selfVoteSequence is the sequence of the Persist effect that must be synced
	// before the candidate's vote for itself counts.
	selfVoteSequence Sequence
	// lastHelloAt is when an empty replica last announced itself.
	lastHelloAt time.Time
}

// resetElectionTimer restarts the election timer, with a new jitter from the next
// tick on.
func (r *Replicator) resetElectionTimer() {
	r.election.timerStart = r.now
	r.election.needsJitter = true
}

// startTimeoutDivisor divides the election timeout of a replica that has seen no
// leader since its start. The shorter timeout matters after a power loss of all
// replicas: the desired state can be neither changed nor read until there is a
// leader. It does not disturb a working leader, whose heartbeat arrives within that
// time and whose followers refuse the pre-vote.
const startTimeoutDivisor = 3

// leavingTimeoutFactor multiplies the election timeout of a replica that is about to stop, so that
// the others campaign first.
const leavingTimeoutFactor = 2

// tickFollower campaigns, or forgets the leader, once that has been silent for too long.
func (r *Replicator) tickFollower() {
	switch {
	case !r.leaderIsOverdue():
	case r.mayCampaign():
		r.startPreVote()
	case r.leader.replica != "":
		r.becomeFollower(r.term, peer{})
	}
}

// leaderIsOverdue reports whether the election timer has run out.
func (r *Replicator) leaderIsOverdue() bool {
	spread := time.Duration(float64(r.cfg.ElectionTimeout) * r.election.jitter)
	wait := r.cfg.ElectionTimeout + spread
	if !r.election.sawLeader {
		wait /= startTimeoutDivisor
	}
	if r.leaving {
		wait *= leavingTimeoutFactor
	}
	return r.now.Sub(r.election.timerStart) >= wait
}

func (r *Replicator) mayCampaign() bool {
	self, ok := r.membership.Find(r.cfg.Replica)
	return ok && self.Voter && r.cluster != "" && !r.diskStalled()
}

// hasActiveLeader reports whether this replica leads, or knows a leader and has
// restarted its election timer within the election timeout. If so, it ignores vote
// requests of later terms other than those of a leadership transfer, so that no
// other replica deposes a working leader.
func (r *Replicator) hasActiveLeader() bool {
	if r.isLeader() {
		return true
	}
	return r.leader.replica != "" && r.now.Sub(r.election.timerStart) < r.cfg.ElectionTimeout
}

// startPreVote asks the voters whether they would vote for this replica, without
// entering a new term.
func (r *Replicator) startPreVote() {
	r.resetElectionTimer()
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

// campaign starts an election in a new term. transfer is set if the leader asked
// for it.
func (r *Replicator) campaign(transfer bool) {
	r.resetElectionTimer()
	r.role = Candidate
	r.term++
	r.vote = r.cfg.Replica
	r.leader = peer{}
	r.election.votes = make(map[replica]bool)
	r.persistHardState()
	r.election.selfVoteSequence = r.disk.lastIssued
	r.roleChanged()
	r.requestVotes(VoteRequest{Transfer: transfer}, r.disk.lastIssued)
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

// countSelfVote counts the candidate's vote for itself once that vote is synced.
func (r *Replicator) countSelfVote() {
	if r.role != Candidate || r.disk.lastSynced < r.election.selfVoteSequence {
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
	candidate := peer{replica: m.From, addr: m.Addr}
	canVote := r.vote == m.From || r.vote == "" && r.leader.replica == ""
	if m.Preliminary {
		canVote = m.Term > r.term || canVote
	}
	granted := canVote && upToDate(m.Last, r.log.last())
	response := &VoteResponse{Envelope: r.envelopeTo(m.From), Preliminary: m.Preliminary, Granted: granted}
	if m.Preliminary {
		if granted {
			response.Term = m.Term
			r.withdrawFor(m)
		}
		r.sendAfter(r.disk.lastHardState, Send{To: candidate.addr, Message: response})
		return
	}
	if granted {
		r.grantVote(m.From)
	}
	r.sendAfter(r.disk.lastHardState, Send{To: candidate.addr, Message: response})
}

// withdrawFor ends this replica's own pre-vote if the other one goes first: its log is more
// up to date, or as much and its name is the lower one. Where every vote counts, such as
// after the loss of disks, two that campaign at once keep each other from winning.
func (r *Replicator) withdrawFor(m *VoteRequest) {
	own := r.log.last()
	if r.role == PreCandidate && (m.Last != own || m.From < r.cfg.Replica) {
		r.becomeFollower(r.term, peer{})
	}
}

func (r *Replicator) grantVote(candidate replica) {
	if !r.check(r.vote == "" || r.vote == candidate, "second vote in term %d: %s after %s", r.term, candidate, r.vote) {
		return
	}
	r.resetElectionTimer()
	if r.vote == candidate {
		return
	}
	r.vote = candidate
	r.persistHardState()
}

// upToDate reports whether a log that ends at candidate is at least as up to date
// as one that ends at own. A log that is at least as up to date as those of a
// majority holds every committed entry.
func upToDate(candidate, own recorder.Position) bool {
	if candidate.Term != own.Term {
		return candidate.Term > own.Term
	}
	return candidate.Index >= own.Index
}

func (r *Replicator) handleVoteResponse(m *VoteResponse) {
	role, term := Candidate, r.term
	if m.Preliminary {
		role, term = PreCandidate, r.term+1
	}
	if r.role != role || m.Term != term || !m.Granted {
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

// becomeFollower makes the replica a follower in the term. leader is zero if it is
// not known.
func (r *Replicator) becomeFollower(term recorder.Term, leader peer) {
	wasLeader := r.isLeader()
	changed := r.role != Follower || r.term != term || r.leader != leader
	if r.term != term || r.leader.replica != leader.replica {
		r.verified = 0
	}
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
