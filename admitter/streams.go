package admitter

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

// attach adds the stream to an attempt that was not refused, and sends the response
// on it if the attempt has started.
func (r *Reducer) attach(a *attempt, stream StreamID, offset identifier.ByteCount, wantHead bool) {
	if a.state == endedState && a.endKind != Complete {
		r.sendGone(stream, a.request, a.id, a.goneReason())
		return
	}
	a.streams = append(a.streams, stream)
	a.orphanedAt = time.Time{}
	r.emit(Accept{Stream: stream, Message: router.AttemptAccepted{Request: a.request, Attempt: a.id, Load: r.Load()}})
	if a.state != queuedState {
		r.emit(Attach{Attempt: a.id, Stream: stream, Offset: offset, WantHead: wantHead})
	}
}

func appendUnique(streams []StreamID, s StreamID) []StreamID {
	if slices.Contains(streams, s) {
		return streams
	}
	return append(streams, s)
}

func (r *Reducer) handleStreamLost(e StreamLost) {
	a := r.attempts[e.Attempt]
	if a == nil {
		return
	}
	a.detach(e.Stream, r.now)
}

func (r *Reducer) handleDelivered(e AttemptDelivered) {
	a := r.attempts[e.Attempt]
	if a == nil {
		return
	}
	a.detach(e.Stream, r.now)
}

// detach removes the stream, and marks the attempt as orphaned if none is left.
func (a *attempt) detach(stream StreamID, now time.Time) {
	a.streams = slices.DeleteFunc(a.streams, func(s StreamID) bool { return s == stream })
	if len(a.streams) == 0 && a.orphanedAt.IsZero() {
		a.orphanedAt = now
	}
}
