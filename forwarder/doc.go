// Package forwarder is an entry's shell around package router: it takes callers'
// requests over HTTP, hands them to agents over streams and passes answers on.
//
// The first segment of the path names the service, the rest goes to the
// upstream. A request is read whole before it is admitted; an answer is passed
// on as it comes. Every answer names its outcome in the header
// Celeryvalve-Outcome. An answer that breaks after its first bytes went out is
// ended by closing the connection, so that the caller's library reports it.
//
// # Usage
//
//	f := forwarder.New(cfg, forwarder.Dependencies{
//		Opener: forwarder.Through(endpoint), Claims: claims, Organisations: tokens, ...})
//	f.ChangePolicy(policy)
//	f.ChangeUpstreams(views)
//	f.Start()
//	server := f.Server(addr)
//	...
//	err := f.Drain(ctx)
package forwarder
