package replicator

import "celeryvalve/recorder"

// receive handles a message, unless it is malformed or meant for another identity
// or cluster.
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
	if !r.adoptCluster(env.Cluster) || !r.updateTerm(message) {
		return
	}
	r.lastHeard[env.From] = r.now
	r.handle(message)
}

// adoptCluster reports whether the replica belongs to the cluster of a message. A
// replica without entries joins the cluster, even if it joined another one before,
// because it has acknowledged no entries.
func (r *Replicator) adoptCluster(cluster recorder.Cluster) bool {
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

// updateTerm compares the message's term with the replica's, enters a newer term
// where the message requires it, and reports whether to handle the message. It
// enters no term for a pre-vote request or a granted pre-vote, whose term is that
// of an election that has not begun.
func (r *Replicator) updateTerm(message Message) bool {
	env := message.envelope()
	if env.Term == r.term {
		return true
	}
	if env.Term < r.term {
		r.refuseStaleTerm(message)
		return false
	}
	leader := peer{}
	switch m := message.(type) {
	case *VoteRequest:
		if !m.Transfer && r.hasActiveLeader() {
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
	r.becomeFollower(env.Term, leader)
	return true
}

// refuseStaleTerm answers a leader or pre-candidate of an old term with the current
// term.
func (r *Replicator) refuseStaleTerm(message Message) {
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
	r.sendAfter(r.disk.lastHardState, Send{To: env.Addr, Message: answer})
}

func (r *Replicator) handle(message Message) {
	switch m := message.(type) {
	case *VoteRequest:
		r.handleVoteRequest(m)
	case *VoteResponse:
		r.handleVoteResponse(m)
	case *AppendRequest:
		if r.acceptLeader(m.Envelope) {
			r.adoptSilences(m)
			r.handleAppend(m)
		}
	case *AppendResponse:
		if r.isLeader() {
			r.handleAppendResponse(m)
		}
	case *SnapshotRequest:
		if r.acceptLeader(m.Envelope) {
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

// acceptLeader follows the sender as the leader of the current term. It returns
// false if the term has another leader.
func (r *Replicator) acceptLeader(env Envelope) bool {
	if !r.check(!r.isLeader(), "replica %s sent a leader's message in term %d, in which this replica leads", env.From, r.term) {
		return false
	}
	known := r.leader.replica
	if !r.check(known == "" || known == env.From, "two leaders, %s and %s, in term %d", known, env.From, r.term) {
		return false
	}
	r.becomeFollower(r.term, peer{replica: env.From, addr: env.Addr})
	r.resetElectionTimer()
	r.election.sawLeader = true
	return true
}
