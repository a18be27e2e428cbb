package relayer

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
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
	detector := a.newStallDetector()
	defer detector.stop()
	first := true
	count := 0
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && !first {
			return a.endStream(response)
		}
		if err != nil || !a.stopFirstByteTimer() {
			return nil, detector.cause()
		}
		if first {
			x.relayer.reduce(balancer.ResponseStarted{Request: x.request.ID, Status: response.StatusCode, Load: a.load})
			if !x.responseStarted {
				a.recordFirstByte()
				x.beginStream(response)
			}
			first = false
		}
		detector.reset()
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

// stallDetector cancels an attempt whose stream, after an event, sends no other one
// within the timeout.
type stallDetector struct {
	a       *attempt
	timeout time.Duration
	timer   interface {
		Stop() bool
		Reset(time.Duration) bool
	}
	fired atomic.Bool
}

// newStallDetector returns a detector for the attempt's stream. It is inactive for
// streams that can't be resumed elsewhere; these may pause for any time.
func (a *attempt) newStallDetector() *stallDetector {
	s := &stallDetector{a: a}
	if !a.route.Resumable || a.send.Attempt >= a.request.MaximumAttempts {
		return s
	}
	s.timeout = max(minStallTimeout, stallFactor*a.route.BetweenEvents)
	return s
}

func (s *stallDetector) reset() {
	if s.timeout == 0 {
		return
	}
	if s.timer == nil {
		s.timer = s.a.relayer.clock.AfterFunc(s.timeout, func() {
			s.fired.Store(true)
			s.a.cancel()
		})
		return
	}
	s.timer.Reset(s.timeout)
}

func (s *stallDetector) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// cause returns Silent if the stream stalled, and Lost if it broke.
func (s *stallDetector) cause() balancer.Cause {
	if s.fired.Load() {
		return balancer.FirstByteTimedOut
	}
	return balancer.ConnectionLost
}
