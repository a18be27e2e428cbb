package replicator

import "celeryvalve/recorder"

// receive takes in a message, unless it is for another disk or cluster.
func (r *Replicator) receive(message Message) {
	if hello, ok := message.(*Hello); ok {
		r.handleHello(hello)
		return
	}
	env := message.envelope()
	if env.To != r.cfg.Replica || !wellFormed(message) {
		return
	}
	if response, ok := message.(*HelloResponse); ok {
		r.handleHelloResponse(response)
		return
	}
	if !r.adopt(env.Cluster) || !r.enterTerm(message) {
		return
	}
	r.handle(message)
}

// adopt joins the cluster of the first message that names this disk. A replica
// without entries has confirmed nothing, so it may change the cluster.
func (r *Replicator) adopt(cluster recorder.Cluster) bool {
	if cluster == "" || cluster == r.cluster {
		return cluster != ""
	}
	if !r.empty() {
		return false
	}
	r.cluster = cluster
	r.vote = ""
	r.persistHardState()
	return true
}

// enterTerm compares the message's term with the replica's and reports whether
// the message is to be handled.
func (r *Replicator) enterTerm(message Message) bool {
	env := message.envelope()
	if env.Term == r.term {
		return true
	}
	if env.Term < r.term {
		r.refuseOldTerm(message)
		return false
	}
	leader := peer{}
	switch m := message.(type) {
	case *VoteRequest:
		if !m.Transfer && r.hasLiveLeader() {
			return false
		}
		if m.Preliminary {
			return true
		}
	case *VoteResponse:
		if m.Preliminary && m.Granted {
			return true
		}
	case *AppendRequest, *SnapshotRequest:
		leader = peer{replica: env.From, addr: env.Addr}
	}
	r.follow(env.Term, leader)
	return true
}

// refuseOldTerm lets the leader or candidate of an old term know of the newer one.
func (r *Replicator) refuseOldTerm(message Message) {
	env := message.envelope()
	var answer Message
	switch m := message.(type) {
	case *VoteRequest:
		if !m.Preliminary {
			return
		}
		answer = &VoteResponse{Envelope: r.envelopeTo(env.From), Preliminary: true}
	case *AppendRequest, *SnapshotRequest:
		answer = &AppendResponse{Envelope: r.envelopeTo(env.From)}
	default:
		return
	}
	r.sendAfter(r.disk.hardState, Send{To: env.Addr, Message: answer})
}

func (r *Replicator) handle(message Message) {
	switch m := message.(type) {
	case *VoteRequest:
		r.handleVoteRequest(m)
	case *VoteResponse:
		r.handleVoteResponse(m)
	case *AppendRequest:
		if r.hearLeader(m.Envelope) {
			r.handleAppend(m)
		}
	case *AppendResponse:
		if r.isLeader() {
			r.handleAppendResponse(m)
		}
	case *SnapshotRequest:
		if r.hearLeader(m.Envelope) {
			r.handleSnapshot(m)
		}
	case *SnapshotResponse:
		if r.isLeader() {
			r.handleSnapshotResponse(m)
		}
	case *TimeoutNow:
		r.handleTimeoutNow(m)
	}
}

// hearLeader follows the leader of the current term.
func (r *Replicator) hearLeader(env Envelope) bool {
	if !r.check(!r.isLeader(), "another leader %s in the own term %d", env.From, r.term) {
		return false
	}
	known := r.leader.replica
	if !r.check(known == "" || known == env.From, "leaders %s and %s in term %d", known, env.From, r.term) {
		return false
	}
	r.follow(r.term, peer{replica: env.From, addr: env.Addr})
	r.hear()
	r.election.led = true
	return true
}
