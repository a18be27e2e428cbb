package balancer

import "time"

// DrainStarted says that the entry is about to stop.
type DrainStarted struct {
	// AcceptUntil is until when callers still open connections to it.
	AcceptUntil time.Time
	// EndAt is when requests that are in progress end without their answers.
	EndAt time.Time
}

// drainRetryAfter is the Retry-After of requests that a draining entry refuses: other entries
// take them at once.
const drainRetryAfter = 200 * time.Millisecond

// isTooLate reports whether the request must not be sent to an upstream any more, since the entry
// may end before the request does. One that may be repeated is sent while callers still come here:
// it rarely takes all of its time, and its caller can repeat it otherwise.
func (r *Reducer) isTooLate(now time.Time, s *request) bool {
	if r.drain.EndAt.IsZero() || !s.Deadline.After(r.drain.EndAt) {
		return false
	}
	return !s.Repeatable || now.After(r.drain.AcceptUntil)
}
