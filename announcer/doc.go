// Package announcer registers the upstream of an agent with the control plane and
// keeps it registered.
//
// An Announcer announces the upstream, and the control plane answers with a fencing
// token and a lease. While the agent holds the lease, it may send orders to its
// upstream under the token. Package subscriber renews the lease through its reports.
// The duration of the lease is counted from when the agent sent the last report that
// the leader accepted as a renewal. The agent does not use the last fifth of this
// duration, because clocks may run at different rates. The lease therefore ends on
// the agent before it ends on the control plane.
//
// If the upstream is no longer a member, it is announced again under the same
// incarnation. If a newer incarnation has replaced it, it is superseded permanently and
// is not announced any more.
//
// # Usage
//
//	a := announcer.New(announcement, submitter, clock, logger)
//	a.Start()
//	a.SetServing(announcer.ServingState{...})
//	if lease, ok := a.Lease(); ok { ... send orders under lease.Token ... }
//	err := a.Leave(ctx, true)
//	a.Stop()
package announcer
