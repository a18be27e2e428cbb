// Package loader makes one upstream serve the declared weights, by sending fenced,
// idempotent orders to its engine.
//
// The Loader is a reducer: it takes events and returns effects. It compares the
// desired state, taken from the configuration, with the state that the engine
// reports, and sends one order at a time. An order to load carries
// verifier.Weights, which only a completed verification can create. A model is
// replaced by loading its successor, without unloading it first, so that the old
// version keeps serving until the new one is loaded. The next order is chosen only
// from a state that was read after the last order ended: an order whose response
// was lost is therefore repeated only if it had no effect.
//
// Every order carries the fencing token that control granted. If the engine does
// not check tokens, the lease times replace the check: no order is sent before the
// previous token's lease has expired, nor after the lease of the current token has.
//
// A Runner performs the I/O: it polls the engine, sends the orders over HTTP, and
// serves the verified files that the engine reads.
//
// # Usage
//
//	files := loader.NewFileServer(url, store.Open)
//	router.PathPrefix(loader.FilesPath).Handler(files)
//	r := loader.NewRunner(loader.RunnerConfig{...}, clock, files, log, asserter)
//	r.OnEffect = func(e loader.Effect) { ... } // ServingChanged, Superseded, Failed
//	go r.Run(ctx)
//	r.Send(ctx, loader.DesiredChanged{Desired: desired})
//	r.Send(ctx, loader.TokenGranted{Token: 4, Expires: expires})
//	r.Send(ctx, loader.WeightsVerified{Weights: weights})
package loader
