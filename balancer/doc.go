// Package balancer decides, for one entry, which upstream runs each request of a
// declared route, and which requests are refused.
//
// Reducer takes in arrivals, what upstreams are known, and how attempts go; each
// event that concerns a request returns one effect: send it to an upstream,
// answer it, or go on. It holds one attempt per request at a time.
//
// The choice rests on a forecast of the time to the first byte. An upstream's
// load is what it reported with its last answer, corrected by what this entry
// has sent and got back since; the declared model of the engine turns it into
// time, and an old report is doubted. Only some upstreams are drawn for each
// request, the fewer the more comes between two reports, since all entries see the
// same ones. A request whose best forecast misses its objective is refused at once
// and told when to come back, so that what is admitted is served in time.
//
// What may have run is sent again only where the kind of the request allows it,
// and within the declared attempts and the retry budget. Refused is answered
// only where no attempt ran: each was rejected by its upstream as not executed,
// or no byte of it was sent.
//
// Upstreams that fail are set aside for a while, longer each time, and come back
// by one request at a time.
//
// # Usage
//
//	r := balancer.New(cfg)
//	r.Reduce(now, balancer.UpstreamsChanged{Upstreams: views})
//	switch e := r.Reduce(now, balancer.Arrived{Request: request}).(type) {
//	case balancer.Send: // run an attempt, then feed Answering, Ended or Broke
//	case balancer.Refuse: // answer with 503 and e.RetryAfter
//	}
package balancer
