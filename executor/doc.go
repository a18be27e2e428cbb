// Package executor runs an agent: it receives attempts from entries over streams,
// lets package admitter decide which of them run, and sends those to the agent's
// upstream over HTTP. It carries out the effects of the reducer in package admitter.
//
// The body of an attempt is received completely and checked before the reducer gets
// the attempt. The response goes into a bounded buffer, from which any number of
// streams read. The buffer keeps the data that was sent last, so that a stream that
// replaces a silent one can resume the response. While the buffer is full, the
// executor stops reading from the upstream (backpressure).
//
// The outcome of a non-idempotent attempt is stored with the control plane before the
// end of its response is sent, so that a later request with the same key gets the
// stored outcome. If the control plane does not confirm within a few seconds, the
// response ends all the same and the executor goes on trying in the background.
//
// The executor probes its upstream. It takes no attempts until a probe has found the
// upstream ready, and it detects a crash by a refused connection.
//
// # Usage
//
//	x := executor.New(cfg, executor.Dependencies{Claims: claims, CrashReporter: crashes, Clock: clock, ...})
//	x.Register(endpoint)
//	x.Start()
//	...
//	err := x.Drain(ctx)
//	x.Stop()
package executor
