// Package repeater runs a function at intervals in the background.
//
// # Usage
//
//	r := repeater.New(clock, time.Second, func(ctx context.Context) { ... })
//	r.Start()
//	defer r.Stop() // ends ctx and waits for the function
package repeater
