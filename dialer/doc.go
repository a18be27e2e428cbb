// Package dialer reads the answers of HTTP/1.1 servers that may fail in the middle of
// one: upstreams, engines and origins.
//
// An answer without a length ends with its connection. If a write on the connection has
// failed, that end is an error: the write may have taken the error of a reset, after
// which a read sees a plain end. So is the end before the request was written. An
// answer whose status is not one of HTTP, or whose head has a field name that is no
// token, is an error as well: what follows can't be told from its body.
//
// # Usage
//
//	client := &http.Client{Transport: dialer.NewTransport(&http.Transport{})}
//
// or, without a client:
//
//	conn, err := dialer.Dial(ctx, &net.Dialer{}, address)
//	response, err := http.ReadResponse(bufio.NewReader(conn), request)
//	err = dialer.CheckHead(response)
package dialer
