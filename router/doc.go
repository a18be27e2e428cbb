// Package router decides, for one entry, where each request runs and how its caller
// is answered.
//
// Reducer processes events (requests that arrive, changes of upstreams and policy,
// answers to claims, and the progress of attempts) and returns effects: claim, start,
// ask, cancel, pass on, answer. A request has at most one attempt at a time. The
// messages of an attempt and the types of a claim are defined here too, since both
// ends of the exchange use them.
//
// Every request is answered once, with one of four outcomes. NotRun is answered only
// if each attempt of the request was refused by its agent or was never handed over:
// an agent starts nothing before it has the end mark of the body, so an attempt whose
// end mark was not sent can't start.
//
// A non-idempotent request runs only under a claim, which the control plane grants.
// The claim names the attempt and its holder, which is the request that the attempt
// belongs to, before the attempt is handed over. A resend that finds the claim held
// asks the holder's agent: it either attaches the resend to the running attempt, or
// refuses the attempt from then on, after which the resend replaces the claim. If the
// holder's agent is lost, the outcome is Unknown.
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
