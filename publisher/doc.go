// Package publisher serves the subscriptions of a control replica's share of the
// processes, from the state that the replica has applied.
//
// The leader's log reaches every replica, and each replica serves those that
// subscribe to it, so that a change takes two hops to any process and no replica
// sends more than its share. What changes within CoalesceTime goes out as one
// update. Reports come back; the replica brings all renewals of leases of one
// second to the leader in one call, and says so to an upstream only after the
// leader took it: an isolated replica renews nothing.
//
// # Usage
//
//	p := publisher.New(state, renewer, clock, logger)
//	endpoint.Handle(subscriber.SubscribeKind, p.Serve)
//	p.Start()
//	p.Notify() // after every applied entry
package publisher
