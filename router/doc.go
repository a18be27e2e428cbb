// Package router decides, for one entry, where each request runs and what its
// caller is told.
//
// Reducer takes in arrivals, upstreams, policy, answers to claims and the
// progress of attempts, and returns effects: claim, start, ask, cancel, pass on,
// answer. It holds one attempt per request at a time. The attempt's messages
// and the claim's types live here too, since both ends of the exchange use them.
//
// Every request is answered once, with one of four outcomes. NotRun is answered
// only when each attempt of the request was refused by its agent or was never
// handed over: an agent starts nothing before it has the end mark of the body,
// so an attempt whose end mark was not sent can't start.
//
// A non-idempotent request runs only under a claim. The claim names the attempt
// and its holder before the attempt is handed over. A resend that finds the
// claim held asks the holder: the agent either attaches the resend to the
// running attempt, or refuses the attempt from then on, after which the resend
// replaces the claim. A holder that is lost makes the outcome Unknown.
//
// # Usage
//
//	r := router.New(router.Config{Region: "north"}, asserter.Strict{})
//	r.Reduce(now, router.PolicyChanged{Policy: policy})
//	r.Reduce(now, router.UpstreamsChanged{Upstreams: views})
//	for _, effect := range r.Reduce(now, router.RequestArrived{...}) {
//		switch e := effect.(type) {
//		case router.StartAttempt: ...
//		}
//	}
package router
