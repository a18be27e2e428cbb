// Package sampler keeps the history of what an entry counted against the
// objectives and hands it to a control replica that makes a report.
//
// The history is in memory: an entry that restarts begins anew, and a report
// covers what its entries remember.
//
// # Usage
//
//	s := sampler.New("entry-1", tally, clock)
//	endpoint.Handle(sampler.RequestKind, s.Serve)
//	s.Start()
package sampler
