// Package reader limits the time in which the body of a request is read.
//
// Whether a body came in time is decided in one place: either its reading has ended, or the
// limit has expired. A read deadline that passed after the body would end the request itself,
// since net/http goes on reading to learn whether the caller has left.
//
// # Usage
//
//	limit := reader.NewLimit(w)
//	timer := clock.AfterFunc(timeout, limit.Expire)
//	body, err := io.ReadAll(r.Body)
//	timer.Stop()
//	if limit.End() {
//		// The body did not come in time, whatever err says.
//	}
package reader
