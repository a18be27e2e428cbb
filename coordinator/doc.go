// Package coordinator runs one control replica: it is the shell around the
// reducer of package replicator and the disk of package recorder, and applies
// committed entries to a state machine.
//
// One goroutine feeds the reducer and carries out its effects. A second writes
// to the disk; what piles up meanwhile is synced together, so that many
// proposals share one sync. Nothing is sent or answered that rests on bytes
// which are not synced. Where the disk fails, the replica stops for good.
//
// # Usage
//
//	store, err := recorder.Open(recorder.Disk{}, recorder.Config{Folder: folder, Name: "a"}, rand.Reader)
//	c := coordinator.New(cfg, store, machine, transport, clock, asserter, logger)
//	err = c.Start(ctx)
//	result, err := c.Propose(ctx, command)
//	var notLeader *coordinator.NotLeaderError
//	var unknown *coordinator.OutcomeUnknownError
//	switch {
//	case errors.As(err, &notLeader): // nothing was done; ask notLeader.Leader
//	case errors.As(err, &unknown): // it may take effect yet
//	}
//	err = c.Barrier(ctx) // then the state machine holds all that was committed before
package coordinator
