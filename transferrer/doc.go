// Package transferrer is the shell around fetcher: it moves the bytes that the
// reducer decides about.
//
// A Store keeps verified chunks, in memory or in a folder, up to a hard bound. An
// origin is read by HTTP ranges. Peers are asked over streams of the connector,
// one a chunk. Rates of upload and download are bounded by token buckets that the
// reducer lowers while live requests are delayed. Every chunk is verified before
// it is stored, and again when it is read from a folder.
//
// # Usage
//
//	store, err := transferrer.NewStore(transferrer.StoreConfig{Limit: limit})
//	t := transferrer.New(cfg, clock, store, transferrer.Connect(endpoint), lessor, log, asserter)
//	t.OnEffect = func(e fetcher.Effect) { ... } // Completed, Failed, BlamePeer
//	endpoint.Handle("FetcherChunkRequest", t.Handle)
//	go t.Run(ctx)
//	t.Send(ctx, fetcher.Wanted{...})
package transferrer
