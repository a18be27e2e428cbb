// Package executor is an agent's shell around package admitter: it takes attempts
// from entries over streams and runs admitted ones at its upstream over HTTP.
//
// An attempt's body is taken in whole and checked before the reducer sees it.
// The answer goes into a bounded buffer, from which any number of streams read;
// the buffer keeps what was sent last, so that a stream which replaces a silent
// one can continue. Beyond its bound the buffer holds the upstream back.
//
// The outcome of a non-idempotent attempt is settled with control before the end
// of its answer is sent, so that a resend finds it.
//
// # Usage
//
//	x := executor.New(cfg, executor.Dependencies{Claims: claims, Crashes: crashes, Clock: clock, ...})
//	x.Register(endpoint)
//	x.Start()
//	...
//	err := x.Drain(ctx)
//	x.Stop()
package executor
