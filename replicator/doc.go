// Package replicator implements Raft consensus for the control replicas.
//
// A Replicator is a reducer: Reduce takes an event and returns effects. It does
// no I/O and reads no clock. Its caller feeds messages, ticks and requests as
// events, and carries out the effects in order: it writes to the disk, sends
// messages and applies committed entries.
//
// The basis is Raft: each term has at most one leader, the leader replicates its
// log, and an entry is committed once a majority of voters has synced it. The
// package adds:
//
//   - pre-votes, so that a replica that reconnects does not depose the leader
//   - a quorum check, so that an isolated leader steps down
//   - reads that a round of heartbeats confirms, which are linearizable without
//     relying on clocks
//   - snapshots in chunks
//   - learners, which receive the log but don't vote
//   - membership changes of one replica at a time
//
// The identity of a replica is that of its disk. A replica that lost its disk
// restarts under a new identity and is admitted as a learner. Once the learner
// answers, the member that it replaces is removed, and then the learner becomes a
// voter. Where its vote raises the quorum, it has to keep up with the log first.
// What it has to learn is the state, not the history: the leader captures the state
// for it.
//
// Nothing is acknowledged before it is synced: a message that depends on a write
// is sent only after the caller has answered the Persist effect with Persisted.
//
// # Usage
//
//	r := replicator.New(cfg, state, asserter)
//	for _, effect := range r.Reduce(now, event) {
//		switch e := effect.(type) {
//		case replicator.Persist: // write, sync, then feed Persisted{Sequence: e.Sequence}
//		case replicator.Send: // hand e.Message to the transport, or drop it
//		case replicator.Apply: // apply e.Entries in order
//		}
//	}
package replicator
