// Package submitter sends commands from any process to the leader of the control
// replicas.
//
// A request goes to the last known leader. If that one has not answered after a tenth of a second, or none is
// known, all replicas are asked at once which one leads. Each answers with the leader that it knows and the
// term in which that one was elected; the highest term counts, and the request goes there as well. So a
// replica that is silent, or that was the leader before, takes a tenth of a second of the caller's time, not all of it.
//
// A command may reach two leaders, or one twice, so commands must be idempotent: the replicated state machine
// must answer a resent command as it did the first time.
//
// # Usage
//
//	s := submitter.New(endpoint, addresses, clock, metrics, logger)
//	result, err := s.Submit(ctx, data)
//
// On a control replica:
//
//	submitter.NewServer(coordinator, permission, logger).Register(endpoint)
package submitter
