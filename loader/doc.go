// Package loader brings what one upstream serves to what is declared, by fenced
// and idempotent orders.
//
// The Loader is a reducer. It compares the desired state, a slice of the
// configuration, with the state that the engine reports, and gives one order at
// a time. An order to load carries verifier.Weights, which only a completed
// verification can make; a model is replaced by loading its successor, so that
// the version that serves goes on serving until then. The next order is chosen
// only from a state that was read after the last order ended, so that an order
// whose answer was lost is repeated only where it had no effect.
//
// Every order carries the fencing token that control granted. Where the engine
// ignores tokens, no order is given before the lease of the previous giver has
// ended, nor after the own lease has.
//
// A Runner is the shell: it polls the engine, sends the orders over HTTP, and
// serves the verified files that the engine reads.
//
// # Usage
//
//	r := loader.NewRunner(loader.RunnerConfig{...}, clock, files, log, asserter)
//	router.PathPrefix(loader.FilesPath).Handler(files)
//	r.Send(loader.DesiredChanged{Desired: desired})
//	r.Send(loader.TokenGranted{Token: 4, Expires: expires})
//	r.Send(loader.WeightsVerified{Weights: weights})
//	err := r.Run(ctx)
package loader
