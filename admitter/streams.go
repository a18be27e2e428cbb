package admitter

import (
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

func (r *Reducer) attach(a *attempt, stream StreamID, offset identifier.ByteCount, wantHead bool) {
	if a.state == endedState && a.end != Whole {
		r.tellGone(stream, a.request, a.id, a.goneReason())
		return
	}
	a.streams = append(a.streams, stream)
	a.orphaned = time.Time{}
	r.emit(Accept{Stream: stream, Message: router.AttemptAccepted{Request: a.request, Attempt: a.id, Load: r.Load()}})
	if a.state != queuedState {
		r.emit(Attach{Attempt: a.id, Stream: stream, Offset: offset, WantHead: wantHead})
	}
}

func appendMissing(streams []StreamID, s StreamID) []StreamID {
	if slices.Contains(streams, s) {
		return streams
	}
	return append(streams, s)
}

func (r *Reducer) streamLost(e StreamLost) {
	a := r.attempts[e.Attempt]
	if a == nil {
		return
	}
	a.drop(e.Stream, r.now)
}

func (r *Reducer) delivered(e AttemptDelivered) {
	a := r.attempts[e.Attempt]
	if a == nil {
		return
	}
	a.drop(e.Stream, r.now)
}

func (a *attempt) drop(stream StreamID, now time.Time) {
	a.streams = slices.DeleteFunc(a.streams, func(s StreamID) bool { return s == stream })
	if len(a.streams) == 0 && a.orphaned.IsZero() {
		a.orphaned = now
	}
}
