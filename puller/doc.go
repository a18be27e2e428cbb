// Package puller fetches the chunks of one release for an instance from the
// processes that mirror it, or from the origin.
//
// The mirrors run on the control replicas, one or two in each region. Every other entry
// caches the wanted release and passes it on to the instances of its region, since the
// links of the mirrors would not feed dozens of them at once. An instance only fetches its
// own copy and sends nothing, so its uplink stays free for the answers to live requests,
// and it finishes as soon as its own link allows.
//
// A Plan decides which chunk is requested from which source next: from one of this region,
// another one for each chunk and instance, or else from another region, and from the
// origin last. A source keeps a request until it holds the chunk, and says that it is
// alive meanwhile. Instances whose engines serve nothing are served one after another, so
// that the first of them serve soon. A source that is silent is ejected, that is, not
// asked for a while; the others are probed for a chunk that is late. Caches without a mirror in their region
// agree on the one that fetches a chunk for all. Every chunk is checked against its pinned
// digest before it counts.
//
// # Usage
//
//	p := puller.New(puller.Config{Self: "10.0.0.7:7680", RemoteDelay: time.Second}, clock, log)
//	chunks, err := p.Pull(ctx, puller.Task{Release: pinned, Sources: known})
package puller
