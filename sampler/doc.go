// Package sampler counts, on an entry, which answers met the objectives, and
// keeps the counts of past intervals.
//
// Counts are kept per service, organisation and indicator, in intervals of a
// minute for six hours and of half an hour for three days, which is what the
// windows of burn rates need. They are kept in memory: an entry that restarts
// begins anew, and a report covers what its entries remember.
//
// # Usage
//
//	s := sampler.New(clock)
//	s.Count("drafting", "housing", reporter.FirstToken, took <= limit)
//	endpoint.Handle(sampler.RequestKind, s.Serve)
//	snapshots := sampler.Merge(histories)
package sampler
