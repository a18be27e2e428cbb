// Package submitter sends commands from any process to the leader of the control
// replicas.
//
// A command is sent to the last known leader. A replica that is not the leader answers
// with the address of the leader, if it knows one. A replica that does not answer is
// skipped for a few seconds, and the next one is tried. A command whose outcome is
// unknown is sent again, so commands must be idempotent: the replicated state machine
// must answer a resent command as it did the first time.
//
// # Usage
//
//	s := submitter.New(endpoint, addresses, clock, metrics, logger)
//	result, err := s.Submit(ctx, data)
//
// On a control replica:
//
//	server := submitter.NewServer(coordinator, permission, logger)
//	endpoint.Handle(submitter.Kind, server.Serve)
package submitter
