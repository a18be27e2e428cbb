// Package exposer serves a process's metrics, health and readiness over HTTP.
//
//	GET /metrics        metrics in the Prometheus text format
//	GET /healthz        200 while the process runs
//	GET /readyz         200 if every condition is met, else 503 and the unmet conditions
//	GET /debug/pprof/   profiles of the process
//
// # Usage
//
//	e := exposer.New(listen, set, clock, logger)
//	e.AddReadinessCheck("configuration", func() error { ... })
//	err := e.Start()
//	defer e.Stop(ctx)
package exposer
