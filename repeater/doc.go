// Package repeater runs a function at intervals in the background. Its functions
// Sleep and SleepUntil wait on a clock and return early if a context ends.
//
// # Usage
//
//	r := repeater.New(clock, time.Second, func(ctx context.Context) { ... })
//	r.Start()
//	defer r.Stop() // ends ctx and waits for the function
package repeater
