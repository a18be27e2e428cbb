// Package puller brings the chunks of one release to an instance from processes
// that mirror it, or from the origin.
//
// Mirrors stand on instances with wide links, one or two in each region. An
// instance that only takes its own copy sends nothing, so live answers keep its
// link, and it is done as soon as its own link allows.
//
// A Plan decides: which chunk is asked of which source next, the nearest source
// first, the origin last, and for how long a source that failed is passed over.
// Every chunk is checked against its pinned digest before it counts.
//
// # Usage
//
//	p := puller.New(sources, clock, log)
//	chunks, err := p.Pull(ctx, pinned)
package puller
