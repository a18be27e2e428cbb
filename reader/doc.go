// Package reader limits the time in which the body of a request is read, and the memory that a
// process takes for requests and their answers.
//
// Whether a body came in time is decided in one place: either its reading has ended, or the
// limit has expired. A read deadline that passed after the body would end the request itself,
// since net/http goes on reading to learn whether the caller has left.
//
// A Budget is shared by all requests of a process: bounds of each alone say nothing of their sum.
// Bytes are reserved as they come, not as they are announced.
//
// # Usage
//
//	limit := reader.NewLimit(w)
//	timer := clock.AfterFunc(timeout, limit.Expire)
//	reservation := budget.Reserve()
//	defer reservation.Close()
//	body, err := reader.ReadAll(r.Body, reservation)
//	timer.Stop()
//	if limit.End() {
//		// The body did not come in time, whatever err says.
//	}
package reader
