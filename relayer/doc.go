// Package relayer takes callers' requests for declared routes over HTTP/1.1 and
// carries them to upstreams and their answers back.
//
// It is the shell around package balancer: it reads a request whole, finds its
// route and organisation, runs the attempts that the reducer orders, and passes
// on the one answer. What headers are called is the business of a Dialect.
//
// An answer without events is taken whole before its first byte goes to the
// caller, so that one that breaks off can be replaced by another attempt's, or
// by a failure, and is never passed on as whole. Events of a stream are passed
// on one by one, each whole; where a stream breaks off, it goes on after its last
// event at another upstream, or the caller's connection is broken off too.
//
// Connections to upstreams carry one request at a time. One with bytes that
// nobody asked for, or with a broken answer, is closed; an answer to an earlier
// request is passed over by its attempt id.
//
// # Usage
//
//	r := relayer.New(relayer.Config{...}, reducer, dialect, clock, set, log)
//	r.Declare(index)
//	server := r.Server("10.0.0.1:8005")
package relayer
