// Package indexer keeps an index of the beginnings of prompts that upstreams hold, so that
// requests can be sent to where less of their prompts has to be read.
//
// A prompt is a list of parts. Chain turns it into a Beginning: one block for each part,
// whose hash covers the part and all parts before it. Two prompts share the blocks up to
// the first part in which they differ.
//
// Holder is what one process knows of one upstream: the blocks that it has sent there, the
// least recently used ones forgotten first. What the upstream stores for other processes
// displaces blocks too. It is either reported by the upstream (Report) or estimated by the
// caller (Displace). A process forgets all at once when the upstream has lost its memory
// (Clear); an upstream that reports a lower count than before has.
//
// Rank orders upstreams for a beginning that none is known to hold. Processes that know
// nothing of each other's requests rank alike, so that each such beginning is read by few
// upstreams.
//
// The types are not safe for concurrent use.
//
// # Usage
//
//	prompt, ignored := indexer.Chain([]indexer.Part{{ID: "5c1e", Tokens: 800}, {ID: "e440", Tokens: 250}})
//	h := indexer.NewHolder(indexer.MaxBlocks)
//	h.SetCapacity(300_000)
//	h.Add(prompt)             // sent there
//	held := h.Held(prompt)    // tokens that need not be read again
//	h.Confirm(prompt)         // the upstream has begun to answer
package indexer
