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
	// stallFactor is how many times the longest pause that is still on time a
	// resumable stream may stand still before it goes on elsewhere; stallLeast
	// bounds it from below. Callers wait eight times that pause.
	stallFactor = 4
	stallLeast  = 1200 * time.Millisecond
)

// passStream passes on the events of a stream. The first event is read before
// anything goes to the caller.
func (a *attempt) passStream(response *http.Response) (balancer.Effect, balancer.Cause) {
	x := a.exchange
	events := newEventReader(response.Body)
	stalled := a.watchStall()
	defer stalled.stop()
	first := true
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && !first {
			return a.endStream()
		}
		if err != nil || !a.heard() {
			return nil, stalled.cause()
		}
		if first {
			x.relayer.reduce(balancer.Answering{Request: x.request.ID, Status: response.StatusCode, Load: a.load})
			if !x.passed {
				a.observe()
				x.beginStream(response)
			}
			first = false
		}
		stalled.reset()
		if _, err := x.w.Write(event); err != nil {
			return nil, balancer.Lost
		}
		x.flush()
		x.events++
		x.relayer.meters.events.Inc()
		if id != "" {
			x.lastEvent = id
		}
	}
}

func (a *attempt) endStream() (balancer.Effect, balancer.Cause) {
	x := a.exchange
	effect := x.relayer.reduce(balancer.Ended{Request: x.request.ID})
	x.served(http.StatusOK)
	return effect, ""
}

func (x *exchange) beginStream(response *http.Response) {
	x.passHead(response)
	x.w.WriteHeader(response.StatusCode)
	x.passed = true
}

func (x *exchange) flush() {
	// The write before it has reported whether the caller is still there.
	_ = http.NewResponseController(x.w).Flush()
}

// stall ends an attempt whose stream stands still.
type stall struct {
	a     *attempt
	after time.Duration
	timer interface {
		Stop() bool
		Reset(time.Duration) bool
	}
	over atomic.Bool
}

// watchStall watches streams that can go on elsewhere; others wait on.
func (a *attempt) watchStall() *stall {
	s := &stall{a: a}
	if !a.route.Resumable || a.send.Attempt >= a.request.MaximumAttempts {
		return s
	}
	s.after = max(stallLeast, stallFactor*a.route.BetweenEvents)
	return s
}

func (s *stall) reset() {
	if s.after == 0 {
		return
	}
	if s.timer == nil {
		s.timer = s.a.relayer.clock.AfterFunc(s.after, func() {
			s.over.Store(true)
			s.a.cancel()
		})
		return
	}
	s.timer.Reset(s.after)
}

func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// cause tells a stall from a broken stream.
func (s *stall) cause() balancer.Cause {
	if s.over.Load() {
		return balancer.Silent
	}
	return balancer.Lost
}
