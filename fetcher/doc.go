// Package fetcher decides how one agent brings weights to its instance and hands
// them on to others: a reducer over the events of many transfers.
//
// A transfer is the fetching of one manifest. Its chunks are cut into stripes of
// consecutive chunks. For every stripe a tree over all members that want the same
// manifest is computed from the membership view alone, so that all members agree
// on it without talking: one region after another, so that a stripe crosses each
// link between regions at most once, and with even shares, so that each member
// uploads about one copy. The root of a stripe reads it from the origin under a
// lease from control; everyone else asks its parent for the next few chunks, and
// the parent answers as soon as it holds them. A request is therefore both a pull
// and a credit for a push.
//
// A member waits only at its ancestors, so that waiting never forms a cycle.
// Where an ancestor makes no progress until a deadline, or sends corrupt bytes,
// the next one takes its place, and other members are asked for chunks that
// they already hold.
//
// The reducer never sees bytes: it takes a verifier.Chunk, which only a
// successful check can make, and reports Completed with verifier.Weights.
//
// # Usage
//
//	f := fetcher.New(cfg, asserter.Strict{})
//	effects := f.Reduce(now, fetcher.Wanted{Manifest: pinned, Source: url, Favour: fetcher.OriginBytes})
//	for _, e := range effects { shell.Carry(e) }
//	for _, p := range f.Snapshot(now) { fmt.Println(p.Manifest, p.ChunksHeld, p.Chunks) }
package fetcher
