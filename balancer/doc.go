// Package balancer decides, for one entry, which upstream runs each request of a
// declared route, and which requests are refused.
//
// Reducer processes events: requests that arrive, changes of the known upstreams, and
// the progress of attempts. Each event that concerns a request returns one effect:
// send the request to an upstream, answer it, or do nothing. A request has one attempt at
// a time. While its upstream is silent there may be another one beside it; the request is
// over once one is complete, or none is in progress.
//
// Upstreams are compared by a forecast of the time to the first byte. The load of an
// upstream is taken from its last report; the requests that this entry has sent since,
// and an estimate of those that other entries have sent, are added. The declared model
// of the engine turns the load into time, and allows for more uncertainty as the
// report ages. For each request only a random sample of the upstreams is considered,
// since all entries see the same reports; the more requests arrive between two
// reports, the smaller the sample. A request whose best forecast misses its objective
// is refused at once with a Retry-After, so that the admitted requests are served in
// time. While room is short, the pressure at which a request is refused depends on its
// class: whether it was refused before, how its organisation and its kind fare, and how
// many admitted requests were late. Nothing is refused while half of the places are free.
//
// A request that may have run is sent again only if its kind allows that, and within
// the declared number of attempts and the retry budget. Refuse is answered only if no
// attempt ran: each was rejected by its upstream as not executed, or no byte of it
// was sent.
//
// A release rules out older ones some time after it was named. A request that an upstream of
// an older one has not begun by then is withdrawn, and sent elsewhere or failed.
//
// Upstreams that fail repeatedly are ejected for a while, longer with each further
// failure. After that they are tried with one request at a time.
//
// An upstream may name a limit on the requests per second that it accepts from all entries
// together. The entries that take requests rank each other alike for each upstream; the
// first of them share its limit, or hold it alone if it is low. An entry without a share
// sends such an upstream nothing. While all upstreams are at their limits, requests are
// refused at once.
//
// An upstream may ask an entry for rest. It gets nothing from that entry until the rest is over,
// and is preferred less for a while after it. One that says that it leaves gets nothing any more.
//
// Operators may evacuate availability zones. Their upstreams get no new requests until that
// is taken back; what runs there ends there. A zone that returns is preferred less for a
// while, and its upstreams count as cold until they have had the time to say otherwise.
//
// The reducer finds out which requests were in flight when an upstream crashed, for the
// quarantine that all entries share (package quarantiner), and refuses the requests that
// the quarantine names.
//
// # Usage
//
//	r := balancer.New(cfg)
//	r.Reduce(now, balancer.UpstreamsChanged{Upstreams: views})
//	switch e := r.Reduce(now, balancer.RequestArrived{Request: request}).(type) {
//	case balancer.Send: // run an attempt, then feed ResponseStarted, ResponseCompleted or AttemptFailed
//	case balancer.Refuse: // answer with 503 and e.RetryAfter
//	}
package balancer
