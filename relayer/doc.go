// Package relayer is the HTTP/1.1 reverse proxy of an entry. It accepts callers'
// requests for declared routes, sends them to upstreams and relays the responses.
//
// The decisions are made by package balancer. The relayer performs the I/O: it reads
// a request completely, finds its route and organisation, runs the attempts that the
// balancer orders, and sends one response to the caller. A Dialect maps between HTTP
// headers and the values that the relayer uses.
//
// A response that is not an event stream is read completely before its first byte is
// sent to the caller. If such a response is truncated, another attempt or an error
// response replaces it, so the caller never takes it for complete. The events of a
// stream are relayed one by one, and only complete ones. A stream that breaks is
// resumed after its last event on another upstream. If that is not possible, the
// connection to the caller is closed as well.
//
// An upstream that is silent for long keeps its attempt while another one is tried. All
// attempts in progress are read; the first whole response goes to the caller, or the first
// event that goes on with the stream, and the other attempts are closed then. An error goes
// to the caller once no attempt is left that may still answer. An attempt whose response has not
// begun in the time for its release is ended by a reset.
//
// A connection to an upstream carries one request at a time. It is closed if it
// delivers unsolicited bytes or a malformed response. A response to an earlier
// attempt is recognised by its attempt id and skipped.
//
// # Usage
//
//	r := relayer.New(reducer, dialect, reporter, limits, memory, clock, set, log, seed)
//	r.Declare(index, policies)
//	r.ChangeUpstreams(views)
//	r.Start()
//	err := r.Server(maxConnections).Serve(listener)
package relayer
