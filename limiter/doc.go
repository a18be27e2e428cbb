// Package limiter holds the generic policies that keep a service useful under
// more load than it can carry: a fair queue, an adaptive concurrency limit, a
// retry budget and a choice among few candidates by cost.
//
// No policy reads a clock or a random source. Time comes in as now and random
// numbers as values, so that a reducer can own any of them.
//
// # Usage
//
//	q := limiter.NewFairQueue[identifier.Organisation, Request](limiter.QueueConfig{MaxItems: 64})
//	evicted, ok := q.Push(limiter.Item[identifier.Organisation, Request]{Flow: org, Weight: 1, Value: request})
//	item, ok := q.Pop()
//
//	c := limiter.NewConcurrency(limiter.DefaultConcurrencyConfig())
//	if inFlight < c.Limit() { ... }
//	c.Observe(now, latency, inFlight)
package limiter
