// Package sampler keeps the history of an entry's counters for the objectives, and
// sends it to a control replica that makes a report.
//
// The history is kept in memory only: an entry that restarts begins a new one, and a
// report covers what its entries still have.
//
// # Usage
//
//	s := sampler.New("entry-1", tally, clock)
//	endpoint.Handle(sampler.RequestKind, s.Serve)
//	s.Start()
package sampler
