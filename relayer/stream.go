package relayer

import (
	"errors"
	"io"
	"net/http"

	"celeryvalve/balancer"
	"celeryvalve/dialer"
)

// progressInterval is the number of events after which the reducer is told of a stream's progress.
// Half of the answers of the known deployments have more than seven.
const progressInterval = 3

// readStream posts the events of a stream and returns the last message, or nil if the request is
// over.
func (a *attempt) readStream(response *http.Response) any {
	events := newEventReader(response.Body, a.memory)
	for count := 0; ; count++ {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && count > 0 {
			return finished{response}
		}
		if err != nil {
			return failed{causeOfBody(err)}
		}
		if !a.post(streamed{response, event, id}) {
			return nil
		}
	}
}

// handleStreamed sends an event to the caller. Nothing is sent before the first one.
func (x *exchange) handleStreamed(a *attempt, m streamed) balancer.Effect {
	x.choose(a)
	if a.eventsSent == 0 {
		a.stopWatchingBeginning()
		x.relayer.reduce(balancer.ResponseStarted{Request: x.request.ID, Attempt: a.send.Attempt, Status: m.response.StatusCode, Load: a.load})
		if !x.responseStarted {
			x.recordFirstByte(a)
			x.beginStream(m.response)
		}
	}
	_, err := x.w.Write(m.event)
	a.memory.Shrink(cap(m.event))
	if err != nil {
		return x.reportCallerGone(a)
	}
	x.flush()
	x.recordEvent()
	if a.eventsSent++; a.eventsSent%progressInterval == 0 {
		x.relayer.reduce(balancer.StreamProgressed{Request: x.request.ID, Attempt: a.send.Attempt, Events: a.eventsSent})
	}
	if m.id != "" {
		x.lastEvent = m.id
	}
	a.watchStream()
	return balancer.Await{}
}

// recordEvent counts an event that was sent to the caller, and the pause before it.
func (x *exchange) recordEvent() {
	now := x.relayer.clock.Now()
	if x.events > 0 {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	x.events++
	x.relayer.meters.events.Inc()
}

// endStream reports the complete stream to the reducer.
func (x *exchange) endStream(a *attempt, response *http.Response) {
	x.relayer.meters.longestPause.Update(x.longestPause.Seconds())
	x.relayer.reduce(balancer.ResponseCompleted{Request: x.request.ID, Attempt: a.send.Attempt, Unframed: !dialer.IsFramed(response)})
	x.recordServed(a, http.StatusOK)
}

// beginStream sends the status and header of the stream to the caller.
func (x *exchange) beginStream(response *http.Response) {
	x.copyHeader(response)
	x.w.WriteHeader(response.StatusCode)
	x.responseStarted = true
}

func (x *exchange) flush() {
	// The error is ignored because the write before it reports a caller that has
	// disconnected.
	_ = http.NewResponseController(x.w).Flush()
}
