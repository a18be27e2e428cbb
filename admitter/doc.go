// Package admitter decides, for one agent, which attempts its upstream runs.
//
// Reducer is the last check before work starts. It knows every attempt by its
// id: one that it refused, or was asked after before it came, is refused from
// then on; one that is queued, runs or ended is attached to and never run again.
// That makes an agent's refusal a proof that the attempt did not and will not run.
//
// All entries meet at the agent, so the shares between organisations are kept
// here for all of them together, without a message between entries: admitted
// attempts wait in a bounded fair queue until the adaptive limit of the upstream
// lets them start.
//
// An attempt that was running when the upstream crashed is a suspect. It runs
// alone the next time. One that crashes the upstream alone is refused.
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
