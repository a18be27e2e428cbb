// Package replicator is the consensus of the control replicas as one reducer.
//
// It follows Raft: terms with one leader each, a log that the leader
// replicates, and commitment by a majority of voters. Added are preliminary
// votes, so that a returning replica disturbs nobody; a check of the quorum,
// so that an isolated leader steps down; reads confirmed by a round of
// heartbeats, which stay linearizable whatever the clocks do; snapshots in
// chunks; learners; and membership changes of one server at a time.
//
// A replica is named by its disk. One that lost its disk comes back under a new
// identity, is admitted as a learner and votes only once its log is caught up
// and synced. Only then does the member that it replaces leave.
//
// Nothing is acknowledged before it is synced: whatever another replica could
// rely on is held back until the shell answers the Persist effect it rests on.
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
