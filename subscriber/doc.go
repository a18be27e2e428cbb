// Package subscriber keeps one process up to date with control: with the part of
// the configuration that the process needs, the members of the services that it
// uses, and the requests in quarantine.
//
// A subscription is one stream to one control replica. The replica sends updates,
// and the subscriber sends reports. A report acknowledges the configuration version
// that is in force in this process, and renews the lease of the process's upstream
// if it has one. If the replica sends nothing for some time, the subscriber connects to
// the next replica and resumes from the versions that it already has.
//
// The version in force never decreases: a View ignores an older configuration from
// any source. Every message between processes carries the sender's configuration
// version. If a peer's version is newer, the process requests the delta from that
// peer, so it stays up to date even while it can't reach control. If no peer has a
// newer version either, it continues with its current configuration.
//
// # Usage
//
//	view := subscriber.NewView(need, asserter, clock)
//	view.Connect(endpoint)
//	endpoint.Handle(subscriber.ConfigurationRequestKind, view.ServeRequest)
//	s := subscriber.New(subscriber.Config{...}, view, endpoint, holder, clock, logger)
//	s.Start()
//	defer s.Stop()
package subscriber
