// Package coordinator runs one control replica. It feeds events to the Raft
// reducer of package replicator, executes the effects that the reducer returns,
// keeps the log on disk with package recorder, and applies committed entries to
// a state machine.
//
// One goroutine feeds the reducer and executes its effects. A second goroutine
// writes to the disk. Log writes that queue up during a sync are merged into one
// batch, so that many proposals share one sync. The replica sends no message and
// gives no response that depends on bytes which are not synced yet. If the disk
// fails, the replica stops permanently.
//
// # Usage
//
//	store, err := recorder.Open(recorder.OSFileSystem{}, recorder.Config{Folder: folder, Name: "a"}, rand.Reader)
//	c := coordinator.New(cfg, store, machine, transport, clock, asserter, logger)
//	err = c.Start(ctx)
//	result, err := c.Propose(ctx, command)
//	var notLeader *coordinator.NotLeaderError
//	var unknown *coordinator.OutcomeUnknownError
//	switch {
//	case errors.As(err, &notLeader): // the command had no effect; send it to notLeader.Leader
//	case errors.As(err, &unknown): // the command may still take effect
//	}
//	err = c.Barrier(ctx) // if nil, the state machine holds every entry committed before the call
package coordinator
