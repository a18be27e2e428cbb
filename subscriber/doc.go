// Package subscriber keeps one process up to date with control: the slice of the
// configuration that it needs, and the members of the services that it deals
// with.
//
// A subscription is one stream to one control replica. It carries updates down
// and reports up; a report acknowledges what is in force here and renews the
// lease of the upstream, if there is one. When the replica goes silent, the
// subscription moves to the next one and goes on from what it has.
//
// Versions never go back: a View refuses an older configuration, from wherever
// it comes. A process that learns from any message that a peer has a newer
// version asks that peer for the difference, so that one that is cut off from
// control still follows. A process that hears nobody newer goes on with what it
// has.
//
// # Usage
//
//	view := subscriber.NewView(need, asserter)
//	view.Connect(endpoint)
//	endpoint.Handle(subscriber.ConfigurationRequestKind, view.ServeRequest)
//	s := subscriber.New(subscriber.Config{...}, view, endpoint, reporter, clock, logger)
//	s.Start()
package subscriber
