// Package fetcher decides how one agent fetches weights for its instance and passes
// them on to others. It is a reducer over the events of many transfers: the shell,
// which does the input and output, feeds in events and performs the resulting
// effects.
//
// A transfer is the fetching of one manifest. Its chunks are divided into stripes of
// consecutive chunks. For every stripe a tree over all members that want the same
// manifest is computed from the list of members alone, so that all members agree on
// it without exchanging messages. The tree leads through one region after another,
// so that a stripe crosses each link between regions at most once, and the trees
// divide the uploads evenly, so that each member uploads about one copy. The root of
// a stripe reads it from the origin under a lease from control. Every other member
// requests the next few chunks from its parent, and the parent answers as soon as it
// holds them: a request both pulls a chunk and is the credit to push it later.
//
// A member waits only for its ancestors, so that waiting never forms a cycle. If an
// ancestor makes no progress until a deadline, or sends corrupt bytes, the next one
// takes its place, and other members are asked for chunks that they already hold.
//
// The reducer never handles the bytes of chunks. It takes a verifier.Chunk, which
// only a successful check can create, and reports Completed with verifier.Weights.
//
// # Usage
//
//	f := fetcher.New(cfg, asserter.Strict{})
//	effects := f.Reduce(now, fetcher.Wanted{Manifest: pinned, Source: url, Favour: fetcher.OriginBytes})
//	for _, e := range effects { shell.Perform(e) }
//	for _, p := range f.Snapshot(now) { fmt.Println(p.Manifest, p.ChunksHeld, p.Chunks) }
package fetcher
