// Package publisher serves the processes that subscribe to one control replica,
// from the state that the replica has applied.
//
// The leader's log is replicated to every replica, and each replica serves only
// its own subscribers. A change therefore reaches any process in two hops, and the
// load of sending updates is spread over the replicas. Changes that occur within
// CoalesceTime are sent as one update.
//
// Subscribers send reports. Once per second the replica forwards the lease renewals
// that these reports ask for to the leader in one call. It confirms a renewal to the
// upstream only after the leader has accepted it, so a replica that can't reach the
// leader renews no lease.
//
// # Usage
//
//	p := publisher.New(state, caller, leader, clock, metricsSet, logger)
//	endpoint.Handle(subscriber.SubscribeKind, p.Serve)
//	p.Start()
//	defer p.Stop()
//	p.Notify() // call it after every applied log entry
package publisher
