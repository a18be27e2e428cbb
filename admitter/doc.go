// Package admitter implements admission control for one agent: it decides which
// attempts the agent's upstream runs, and when.
//
// An attempt is one try of a caller's request at one upstream. An entry sends it
// to the agent on a stream. Reducer is a deterministic state machine that makes
// the last check before an attempt starts: Reduce takes an Event and returns the
// Effects for the caller to carry out. Package executor is that caller.
//
// Reducer records every attempt by its id. If it refused an attempt, or if an
// entry queried or cancelled an attempt before it arrived, it refuses that attempt
// whenever it arrives later. If the attempt is queued, running or ended, a
// duplicate is attached to it and never runs again. An agent's refusal therefore
// proves that the attempt has not run and will not run.
//
// Every entry sends its attempts for an upstream to the same agent. The agent can
// therefore divide the upstream's capacity fairly between organisations without
// messages between entries: admitted attempts wait in a bounded fair queue until
// the adaptive concurrency limit of the upstream lets them start.
//
// The upstream may name a limit on requests per second in its responses. Attempts then
// start at that pace at most.
//
// If the upstream crashes, the request of every running attempt becomes a suspect.
// The next attempt of a suspect runs alone. If the upstream crashes again while it
// runs alone, later attempts of that request are refused.
//
// # Usage
//
//	r := admitter.New(admitter.Config{Upstream: "u1", Incarnation: 3}, asserter.Strict{})
//	r.Reduce(now, admitter.UpstreamChanged{Ready: true})
//	for _, effect := range r.Reduce(now, admitter.AttemptArrived{Start: start, Stream: 1}) {
//		switch e := effect.(type) {
//		case admitter.Run: ...
//		}
//	}
package admitter
