// Package transferrer performs the I/O of package fetcher: it fetches, verifies,
// stores and serves the chunks that the fetcher's reducer decides about.
//
// The reducer, a fetcher.Fetcher, takes events and returns effects. A Transferrer
// executes the effects and feeds their outcomes back as events.
//
// A Store holds verified chunks, in memory or in a folder, up to a fixed size
// limit. The origin is read by HTTP range requests, or through a ChunkOrigin. Each
// chunk that is requested from a peer uses one stream of the connector. Token
// buckets limit the upload and download rates; the reducer lowers these rates while
// live requests are delayed. Every chunk is verified before it is stored, and again
// when it is read from a folder.
//
// # Usage
//
//	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: limit})
//	t := transferrer.New(cfg, clock, store, transferrer.NewDialer(endpoint), lessor, set, log, asserter)
//	t.OnEffect = func(e fetcher.Effect) { ... } // Completed, Failed, BlamePeer
//	for _, message := range fetcher.Messages() {
//		endpoint.Handle(message.Kind(), t.Handle)
//	}
//	go t.Run(ctx)
//	t.Send(ctx, fetcher.Wanted{...})
package transferrer
