// Package generator plays the callers: an open loop of requests at random times,
// over a mix of organisations and classes of request, with resends under the same
// idempotency key. It measures latencies into histograms, counts outcomes, checks
// that every answer is whole and belongs to its request, and keeps a record of
// each request so that Check can compare it with what the stand-ins ran.
//
// Latency is taken from the time at which a request was due, so that a slow
// system under test can't hide its delay by slowing the callers.
//
// # Usage
//
//	plan := generator.DefaultPlan()
//	plan.Rate = 50
//	g, err := generator.New(plan, []string{"http://127.0.0.1:8080"}, http.DefaultClient, clock)
//	records := g.Run(ctx)
//	summary := generator.Summarise(plan, records)
//	violations := generator.Check(records, runs)
package generator
