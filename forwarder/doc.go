// Package forwarder is the HTTP entry point of the system. It accepts callers'
// requests, sends them to agents over message streams and relays the responses.
//
// The decisions are made by package router. The forwarder performs the I/O that the
// router orders.
//
// The first segment of the path names the service. The rest of the path goes to the
// upstream. A request is read completely before it is admitted. The response to an
// idempotent request is relayed as it arrives, and the response to a non-idempotent
// one is buffered until it is complete. Every response carries its outcome in the
// header Celeryvalve-Outcome. If a response breaks after its first bytes were sent,
// the connection to the caller is closed, so that the caller's HTTP library reports
// an error.
//
// # Usage
//
//	f := forwarder.New(cfg, forwarder.Dependencies{
//		Opener: forwarder.NewOpener(endpoint), Claims: claims, Authenticator: tokens, ...})
//	f.ChangePolicy(policy, services)
//	f.ChangeUpstreams(views)
//	f.Start()
//	server := f.Server()
//	...
//	err := f.Drain(ctx)
//	f.Stop()
package forwarder
