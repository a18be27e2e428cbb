// Package puller fetches the chunks of one release for an instance from the
// processes that mirror it, or from the origin.
//
// The mirrors run on instances with fast links, one or two in each region. An
// instance only fetches its own copy and sends nothing, so its uplink stays free for
// the answers to live requests, and it finishes as soon as its own link allows.
//
// A Plan decides which chunk is requested from which source next: from the nearest
// source first, from the origin last. It also decides how long a source that failed
// is ejected, that is, not asked. Every chunk is checked against its pinned digest
// before it counts.
//
// # Usage
//
//	p := puller.New(clock, log)
//	chunks, err := p.Pull(ctx, pinned, sources)
package puller
