package relayer

import (
	"errors"
	"io"
	"net/http"
	"time"

	"celeryvalve/balancer"
)

const (
	// The stall timeout is stallFactor times the longest pause between events that
	// counts as on time, and at least minStallTimeout. A resumable stream that pauses
	// for longer is resumed on another upstream. Callers wait for eight times the
	// pause that counts as on time.
	stallFactor     = 4
	minStallTimeout = 1200 * time.Millisecond
	// progressInterval is the number of events after which the reducer is told of a stream's
	// progress. Half of the answers of the known deployments have more than seven.
	progressInterval = 3
)

// relayStream relays the events of a stream. It reads the first event before it
// sends anything to the caller.
func (a *attempt) relayStream(response *http.Response) (balancer.Effect, balancer.Cause) {
	x := a.exchange
	events := newEventReader(response.Body)
	for count := 0; ; {
		if count > 0 && a.mayHandOver() {
			a.stall.start(max(minStallTimeout, stallFactor*a.route.BetweenEvents))
		}
		event, id, err := events.next()
		a.stall.stop()
		if errors.Is(err, io.EOF) && count > 0 {
			return a.endStream(response)
		}
		if err != nil {
			return nil, balancer.ConnectionLost
		}
		if count == 0 {
			x.closeStalled()
			x.relayer.reduce(balancer.ResponseStarted{Request: x.request.ID, Status: response.StatusCode, Load: a.load})
			if !x.responseStarted {
				a.recordFirstByte()
				x.beginStream(response)
			}
		}
		if _, err := x.w.Write(event); err != nil {
			return nil, balancer.ConnectionLost
		}
		x.flush()
		x.recordEvent()
		if count++; count%progressInterval == 0 {
			x.relayer.reduce(balancer.StreamProgressed{Request: x.request.ID, Events: count})
		}
		if id != "" {
			x.lastEvent = id
		}
	}
}

// mayHandOver reports whether another upstream may go on with the stream while this one is
// silent.
func (a *attempt) mayHandOver() bool {
	return a.route.Resumable && a.send.Attempt < a.request.MaximumAttempts && a.givenUp == nil
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
func (a *attempt) endStream(response *http.Response) (balancer.Effect, balancer.Cause) {
	x := a.exchange
	x.relayer.meters.longestPause.Update(x.longestPause.Seconds())
	effect := x.relayer.reduce(balancer.ResponseCompleted{Request: x.request.ID, Unframed: !isFramed(response)})
	x.recordServed(http.StatusOK)
	return effect, ""
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
