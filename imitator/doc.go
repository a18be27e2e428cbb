// Package imitator holds small stand-ins of the outside systems that the
// product deals with: a model engine, a plain service, and the origin of
// weights with its rate limit. They are scaffolding for tests, demos and
// measurements, and are no part of the product.
//
// Each stand-in is an http.Handler. A Host serves it on one address and makes
// it crash and come back. What a stand-in does wrong is a Misbehaviour, which
// is set by POST /misbehave while it runs. Every run of a request is kept in a
// History that survives a crash, so that a test can count runs afterwards.
//
// The engine's answer names the model, version and adapter that made it and the
// hash of the prompt: Tokens computes the whole answer, so a caller can check it.
//
// # Usage
//
//	sw := imitator.NewSwitch(imitator.Misbehaviour{})
//	history := imitator.NewHistory(clock)
//	host := imitator.NewHost("127.0.1.1:9000", clock, log, sw, func(crash func()) http.Handler {
//		return imitator.NewEngine(cfg, imitator.NewProcess(clock, sw, history, crash)).Handler()
//	})
//	err := host.Run(ctx)
package imitator
