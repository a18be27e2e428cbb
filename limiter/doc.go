// Package limiter provides generic policies that keep a service useful under
// overload: a fair queue, an adaptive concurrency limit, a retry budget, a choice of
// the cheapest among a few random candidates, and decaying rates and means.
//
// No policy reads a clock or a random source. The time is passed in as now, and
// random numbers as values, so that reducers that use a policy stay deterministic.
//
// # Usage
//
//	q := limiter.NewFairQueue[identifier.Organisation, Request](limiter.QueueConfig{MaxItems: 64})
//	evicted, ok := q.Push(limiter.Item[identifier.Organisation, Request]{Flow: org, Weight: 1, Value: request})
//	item, ok := q.Pop()
//
//	c := limiter.NewConcurrencyLimit(limiter.DefaultConcurrencyConfig())
//	if inFlight < c.Limit() { ... }
//	c.Observe(now, latency, inFlight)
package limiter
