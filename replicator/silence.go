package replicator

import "time"

// silences returns the members that have not answered within the activity window.
func (r *Replicator) silences() []Silence {
	var list []Silence
	for _, m := range r.others() {
		if silence := r.now.Sub(r.heardSince(m.Replica)); silence > r.activityWindow() {
			list = append(list, Silence{Replica: m.Replica, Duration: silence})
		}
	}
	return list
}

// heardSince returns when the member last sent a message. For one that this replica has known
// nothing of since its start, that is its start: after a restart of all, the time that the election
// took counts as silence.
func (r *Replicator) heardSince(id replica) time.Time {
	if heard, ok := r.lastHeard[id]; ok {
		return heard
	}
	return r.startedAt
}

// answers reports whether the member has sent a message within the activity window. Unlike
// isActive, it gives a new leader's members no time to answer for the first time.
func (r *Replicator) answers(id replica) bool {
	heard, ok := r.lastHeard[id]
	return id == r.cfg.Replica || ok && r.now.Sub(heard) <= r.activityWindow()
}

// adoptSilences takes over from a heartbeat when the leader last heard each member. If this
// replica becomes the leader, it does not have to wait anew until a lost member counts as silent.
func (r *Replicator) adoptSilences(m *AppendRequest) {
	if len(m.Entries) > 0 {
		return
	}
	silent := make(map[replica]time.Duration, len(m.Silences))
	for _, s := range m.Silences {
		silent[s.Replica] = s.Duration
	}
	for _, member := range r.membership.Members {
		if heard := r.now.Add(-silent[member.Replica]); heard.After(r.lastHeard[member.Replica]) {
			r.lastHeard[member.Replica] = heard
		}
	}
}

// forgetRemoved drops what is known of replicas that are no longer members.
func (r *Replicator) forgetRemoved() {
	for id := range r.lastHeard {
		if _, ok := r.membership.Find(id); !ok {
			delete(r.lastHeard, id)
		}
	}
}
