// Package submitter brings commands from any process to the leader of the
// control replicas.
//
// A command is sent to the replica that led last. One that does not lead names
// the leader; one that can't be reached is passed over for the next. A command
// whose outcome is not known is sent again, so commands must be idempotent: the
// replicated state machine answers a resent command as it did the first time.
//
// # Usage
//
//	s := submitter.New(endpoint, addresses, clock)
//	result, err := s.Submit(ctx, data)
//
// On a control replica:
//
//	endpoint.Handle(submitter.Kind, submitter.NewServer(coordinator).Serve)
package submitter
